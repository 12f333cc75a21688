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

/** The emulated backends and discovery service, on one event loop, and the faults injected into them. */
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
            EmulatedBackend backend = new EmulatedBackend(node, plan.seed(), proxyCount, network, clock,
                referee, experiment.nodes().connections().idleTimeout(), experiment.permissions().probes());
            backend.bindListeners();
            backends.add(backend);
        }
        callOnLoop(() -> {
            backends.forEach(node -> node.start(false));
            return null;
        });
        discovery = new DiscoveryService(experiment.discovery(), plan.seed(), proxyCount, backends, network,
            clock, referee);
    }

    private <T> T callOnLoop(Callable<T> action) {
        return network.emulatorLoop().submit(action).syncUninterruptibly().getNow();
    }

    /**
     * Sets the handler that detaches a backend (true) or attaches it again at the proxies' consoles. Must be
     * set before the start.
     */
    public void onBackendDetach(BiConsumer<String, Boolean> handler) {
        detachHandler = handler;
    }

    /** Sets the handler of a move of discovery, which informs the proxies. Must be set before the start. */
    public void onDiscoveryMove(Runnable handler) {
        discoveryMoveHandler = handler;
    }

    /** Moves discovery to new addresses. Must not be called on the event loop. */
    public void moveDiscovery() {
        discovery.move();
    }

    /** Returns the host and port at which a proxy reaches discovery. */
    public String discoveryAddress(int proxy) {
        return LoopbackAddresses.hostAndPort(discovery.addressFor(proxy));
    }

    /**
     * Returns the backend list for a proxy's configuration.
     *
     * @param usedAtStart whether the proxy starts with this list; the referee then counts it as known to it
     */
    public Map<String, Object> backendListFor(int proxy, boolean usedAtStart) {
        return callOnLoop(() -> discovery.backendListFor(proxy, usedAtStart));
    }

    /** Returns the number of requests running or queued per backend; -1 for a backend that is down. */
    public int[] requestsPerBackend() {
        return callOnLoop(() -> backends.stream().mapToInt(EmulatedBackend::requestCount).toArray());
    }

    /** Returns how many backends are slowed down by overload. */
    public long overloadedBackendCount() {
        return callOnLoop(() -> backends.stream().filter(EmulatedBackend::isOverloaded).count());
    }

    /** Returns how many backends are down because too much work crashed them while cold. */
    public long overloadCrashedBackendCount() {
        return callOnLoop(() -> backends.stream().filter(EmulatedBackend::isCrashedByOverload).count());
    }

    /** Returns the number of list entries that discovery has sent to proxies. */
    public long discoveryEntriesSent() {
        return callOnLoop(discovery::entriesSent);
    }

    /**
     * Schedules the start and the end of a fault. Its times count from {@code loadStart}, the start of the
     * load.
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

    /** Applies a link fault, and excuses the proxies that it cuts off from the clients in the referee. */
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
