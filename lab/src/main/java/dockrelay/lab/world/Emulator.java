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
    private final EmulatorNetwork network;
    private final Clock clock;
    private final List<EmulatedBackend> backends = new ArrayList<>();
    private final DiscoveryService discovery;
    private final Referee referee;
    private final int proxyCount;
    private BiConsumer<String, Boolean> detachHandler = (backend, detached) -> { };
    private Runnable discoveryMoveHandler = () -> { };
    private int activeOutages;

    public Emulator(Plan plan, EmulatorNetwork network, Clock clock, Referee referee) {
        this.network = network;
        this.clock = clock;
        Experiment experiment = plan.experiment();
        int proxyCount = experiment.proxies().count();
        this.referee = referee;
        this.proxyCount = proxyCount;
        for (Plan.Node node : plan.nodes()) {
            EmulatedBackend backend =
                new EmulatedBackend(node, plan.seed(), proxyCount, network, clock, referee,
                experiment.nodes().connections().idleTimeout(), experiment.permissions().probes());
            backend.bindListeners();
            backends.add(backend);
        }
        callOnLoop(() -> {
            backends.forEach(node -> node.start(false));
            return null;
        });
        discovery = new DiscoveryService(experiment.discovery(), plan.seed(), proxyCount, backends, network,
            clock,
            referee);
    }

    private <T> T callOnLoop(Callable<T> action) {
        return network.emulatorLoop().submit(action).syncUninterruptibly().getNow();
    }

    /** Who takes nodes out (true) and puts them back at the proxies' consoles. To be told before a start. */
    public void onBackendDetach(BiConsumer<String, Boolean> handler) {
        detachHandler = handler;
    }

    /** Who tells the proxies where discovery is, once it has moved. To be told before a start. */
    public void onDiscoveryMove(Runnable handler) {
        discoveryMoveHandler = handler;
    }

    /** Takes discovery to new addresses. Not to be called on the loop. */
    public void moveDiscovery() {
        discovery.move();
    }

    public String discoveryAddress(int proxy) {
        return LoopbackAddresses.hostAndPort(discovery.addressFor(proxy));
    }

    /** The list for a proxy's configuration; told where it starts with it. */
    public Map<String, Object> backendListFor(int proxy, boolean usedAtStart) {
        return callOnLoop(() -> discovery.backendListFor(proxy, usedAtStart));
    }

    /** What each node holds; below 0 where it is down. */
    public int[] requestsPerBackend() {
        return callOnLoop(() -> backends.stream().mapToInt(EmulatedBackend::requestCount).toArray());
    }

    public long overloadedBackendCount() {
        return callOnLoop(() -> backends.stream().filter(EmulatedBackend::isOverloaded).count());
    }

    public long overloadCrashedBackendCount() {
        return callOnLoop(() -> backends.stream().filter(EmulatedBackend::isCrashedByOverload).count());
    }

    public long discoveryEntriesSent() {
        return callOnLoop(discovery::entriesSent);
    }

    /**
     * Lets a fault of nodes or discovery begin at its time and end after it lasted; zero is when clients
     * come.
     */
    public void scheduleFault(Break fault, long loadStart) {
        scheduleAt(loadStart + fault.at(), () -> startFault(fault));
        scheduleAt(loadStart + fault.endAt(), () -> endFault(fault));
    }

    private void scheduleAt(long time, Runnable action) {
        network.schedule(network.emulatorLoop(), time - clock.nowMicros(), action);
    }

    private void startFault(Break fault) {
        switch (fault.kind()) {
            case OUTAGE -> discovery.setOutage(++activeOutages > 0);
            case LINK -> applyLinkFault(fault);
            case MOVE -> discoveryMoveHandler.run();
            default -> { }
        }
        for (int backendIndex : fault.victims()) {
            EmulatedBackend backend = backends.get(backendIndex);
            backend.startFault(fault);
            if (fault.kind() == FaultKind.CRASH && backend.isUp()) {
                backend.crash();
                discovery.onCrash(backend);
            } else if (fault.kind() == FaultKind.DRAIN) {
                discovery.setDraining(backend, true);
            } else if (fault.kind() == FaultKind.DETACH) {
                detachHandler.accept(backend.name(), true);
            }
        }
    }

    private void endFault(Break fault) {
        switch (fault.kind()) {
            case OUTAGE -> discovery.setOutage(--activeOutages > 0);
            case LINK -> network.links().removeFault(fault);
            default -> { }
        }
        for (int backendIndex : fault.victims()) {
            EmulatedBackend backend = backends.get(backendIndex);
            backend.endFault(fault);
            if (fault.kind() == FaultKind.CRASH && !backend.isUp() && !backend.hasFault(FaultKind.CRASH)) {
                backend.start(true);
                discovery.onRestart(backend);
            } else if (fault.kind() == FaultKind.DRAIN && !backend.hasFault(FaultKind.DRAIN)) {
                discovery.setDraining(backend, false);
            } else if (fault.kind() == FaultKind.DETACH && !backend.hasFault(FaultKind.DETACH)) {
                detachHandler.accept(backend.name(), false);
            }
        }
    }

    /** Lays it on, and lets the referee know which proxies it keeps from their clients. */
    private void applyLinkFault(Break fault) {
        Set<String> from = Set.copyOf(fault.link().from()), to = Set.copyOf(fault.link().to());
        network.links().addFault(fault, from, to, fault.link().passage());
        if (fault.link().both()) {
            network.links().addFault(fault, to, from, fault.link().passage());
        }
        if (from.contains(EmulatorNetwork.CLIENTS_ENDPOINT)
            || to.contains(EmulatorNetwork.CLIENTS_ENDPOINT)) {
            long now = clock.nowMicros();
            for (int i = 0; i < proxyCount; i++) {
                if (from.contains("n" + i) || to.contains("n" + i)) {
                    referee.excuseProxy(i, now, now + fault.lasts());
                }
            }
        }
    }
}
