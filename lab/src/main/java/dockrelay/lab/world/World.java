package dockrelay.lab.world;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.spec.Experiment;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/** Nodes and discovery, on one loop, and the faults that befall them. */
public final class World {
    private final Net net;
    private final Clock clock;
    private final List<Node> nodes = new ArrayList<>();
    private final DiscoveryService discovery;

    public World(Plan plan, Net net, Clock clock, Referee referee) {
        this.net = net;
        this.clock = clock;
        Experiment experiment = plan.experiment();
        int askers = experiment.proxies().count();
        for (Plan.Node node : plan.nodes()) {
            Node made = new Node(node, plan.seed(), askers, net, clock, referee,
                experiment.nodes().connections().idle(), experiment.permissions().probes());
            made.reserve();
            nodes.add(made);
        }
        on(() -> {
            nodes.forEach(node -> node.start(false));
            return null;
        });
        discovery = new DiscoveryService(experiment.discovery(), plan.seed(), askers, nodes, net, clock,
            referee);
    }

    private <T> T on(Callable<T> action) {
        return net.world().submit(action).syncUninterruptibly().getNow();
    }

    public String discovery(int asker) {
        return Addresses.text(discovery.address(asker));
    }

    public Map<String, Object> known(int asker) {
        return on(() -> discovery.known(asker));
    }

    /** What each node holds; below 0 where it is down. */
    public int[] held() {
        return on(() -> nodes.stream().mapToInt(Node::heldNow).toArray());
    }

    public long crowded() {
        return on(() -> nodes.stream().filter(Node::crowded).count());
    }

    public long fell() {
        return on(() -> nodes.stream().filter(Node::fell).count());
    }

    public long linesSent() {
        return on(discovery::linesSent);
    }

    /**
     * Lets a fault of nodes or discovery begin at its time and end after it lasted; zero is when clients
     * come.
     */
    public void schedule(Break fault, long zero) {
        at(zero + fault.at(), () -> begin(fault));
        at(zero + fault.until(), () -> end(fault));
    }

    private void at(long when, Runnable action) {
        net.later(net.world(), when - clock.now(), action);
    }

    private void begin(Break fault) {
        for (int victim : fault.victims()) {
            Node node = nodes.get(victim);
            switch (fault.kind()) {
                case CRASH -> {
                    node.crash();
                    discovery.died(node);
                }
                case SLOW -> node.trouble(fault.size(), 0, 0);
                case NEIGHBOUR -> node.trouble(1, fault.size(), 0);
                case FAST_ERRORS -> node.trouble(1, 0, fault.size());
                case DRAIN -> {
                    node.drain(true);
                    discovery.leaving(node, true);
                }
                default -> throw new IllegalArgumentException(fault.kind() + " has no node as victim");
            }
        }
        if (fault.victims().isEmpty()) {
            discovery.outage(true);
        }
    }

    private void end(Break fault) {
        for (int victim : fault.victims()) {
            Node node = nodes.get(victim);
            switch (fault.kind()) {
                case CRASH -> {
                    if (!node.up()) {
                        node.start(true);
                        discovery.started(node);
                    }
                }
                case DRAIN -> {
                    node.drain(false);
                    discovery.leaving(node, false);
                }
                default -> node.trouble(1, 0, 0);
            }
        }
        if (fault.victims().isEmpty()) {
            discovery.outage(false);
        }
    }
}
