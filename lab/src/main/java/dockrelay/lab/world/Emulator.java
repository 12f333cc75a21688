package dockrelay.lab.world;

import dockrelay.lab.plan.Plan;
import dockrelay.lab.plan.Plan.Break;
import dockrelay.lab.referee.Referee;
import dockrelay.lab.spec.Experiment;
import dockrelay.lab.spec.Experiment.FaultKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;

/** Nodes and discovery, on one loop, and the faults that befall them. */
public final class Emulator {
    private final EmulatorNetwork net;
    private final Clock clock;
    private final List<Node> nodes = new ArrayList<>();
    private final DiscoveryService discovery;
    private final Referee referee;
    private final int proxies;
    private BiConsumer<String, Boolean> operator = (node, out) -> { };
    private Runnable moved = () -> { };
    private int outages;

    public Emulator(Plan plan, EmulatorNetwork net, Clock clock, Referee referee) {
        this.net = net;
        this.clock = clock;
        Experiment experiment = plan.experiment();
        int askers = experiment.proxies().count();
        this.referee = referee;
        this.proxies = askers;
        for (Plan.Node node : plan.nodes()) {
            Node made = new Node(node, plan.seed(), askers, net, clock, referee,
                experiment.nodes().connections().idleTimeout(), experiment.permissions().probes());
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
        return net.emulatorLoop().submit(action).syncUninterruptibly().getNow();
    }

    /** Who takes nodes out (true) and puts them back at the proxies' consoles. To be told before a start. */
    public void onBackendDetach(BiConsumer<String, Boolean> calls) {
        operator = calls;
    }

    /** Who tells the proxies where discovery is, once it has moved. To be told before a start. */
    public void onDiscoveryMove(Runnable action) {
        moved = action;
    }

    /** Takes discovery to new addresses. Not to be called on the loop. */
    public void moveDiscovery() {
        discovery.move();
    }

    public String discoveryAddress(int asker) {
        return LoopbackAddresses.hostAndPort(discovery.address(asker));
    }

    /** The list for a proxy's configuration; told where it starts with it. */
    public Map<String, Object> backendListFor(int asker, boolean told) {
        return on(() -> discovery.known(asker, told));
    }

    /** What each node holds; below 0 where it is down. */
    public int[] requestsPerBackend() {
        return on(() -> nodes.stream().mapToInt(Node::heldNow).toArray());
    }

    public long overloadedBackendCount() {
        return on(() -> nodes.stream().filter(Node::crowded).count());
    }

    public long overloadCrashedBackendCount() {
        return on(() -> nodes.stream().filter(Node::fell).count());
    }

    public long discoveryEntriesSent() {
        return on(discovery::linesSent);
    }

    /**
     * Lets a fault of nodes or discovery begin at its time and end after it lasted; zero is when clients
     * come.
     */
    public void scheduleFault(Break fault, long zero) {
        at(zero + fault.at(), () -> begin(fault));
        at(zero + fault.endAt(), () -> end(fault));
    }

    private void at(long when, Runnable action) {
        net.schedule(net.emulatorLoop(), when - clock.nowMicros(), action);
    }

    private void begin(Break fault) {
        switch (fault.kind()) {
            case OUTAGE -> discovery.outage(++outages > 0);
            case LINK -> lay(fault);
            case MOVE -> moved.run();
            default -> { }
        }
        for (int victim : fault.victims()) {
            Node node = nodes.get(victim);
            node.begin(fault);
            if (fault.kind() == FaultKind.CRASH && node.up()) {
                node.crash();
                discovery.died(node);
            } else if (fault.kind() == FaultKind.DRAIN) {
                discovery.leaving(node, true);
            } else if (fault.kind() == FaultKind.DETACH) {
                operator.accept(node.name(), true);
            }
        }
    }

    private void end(Break fault) {
        switch (fault.kind()) {
            case OUTAGE -> discovery.outage(--outages > 0);
            case LINK -> net.links().lift(fault);
            default -> { }
        }
        for (int victim : fault.victims()) {
            Node node = nodes.get(victim);
            node.end(fault);
            if (fault.kind() == FaultKind.CRASH && !node.up() && !node.suffers(FaultKind.CRASH)) {
                node.start(true);
                discovery.started(node);
            } else if (fault.kind() == FaultKind.DRAIN && !node.suffers(FaultKind.DRAIN)) {
                discovery.leaving(node, false);
            } else if (fault.kind() == FaultKind.DETACH && !node.suffers(FaultKind.DETACH)) {
                operator.accept(node.name(), false);
            }
        }
    }

    /** Lays it on, and lets the referee know which proxies it keeps from their clients. */
    private void lay(Break fault) {
        Set<String> from = Set.copyOf(fault.link().from()), to = Set.copyOf(fault.link().to());
        net.links().lay(fault, from, to, fault.link().passage());
        if (fault.link().both()) {
            net.links().lay(fault, to, from, fault.link().passage());
        }
        if (from.contains(EmulatorNetwork.CLIENTS) || to.contains(EmulatorNetwork.CLIENTS)) {
            long now = clock.nowMicros();
            for (int i = 0; i < proxies; i++) {
                if (from.contains("n" + i) || to.contains("n" + i)) {
                    referee.excuseProxy(i, now, now + fault.lasts());
                }
            }
        }
    }
}
