package dockrelay.lab.spec;

import dockrelay.lab.link.Passage;
import dockrelay.lab.spec.Experiment.ArrivalPattern;
import dockrelay.lab.spec.Experiment.OverloadSlowdown;
import dockrelay.lab.spec.Experiment.Clients;
import dockrelay.lab.spec.Experiment.Connections;
import dockrelay.lab.spec.Experiment.Discovery;
import dockrelay.lab.spec.Experiment.DiskFault;
import dockrelay.lab.spec.Experiment.Idempotency;
import dockrelay.lab.spec.Experiment.Fault;
import dockrelay.lab.spec.Experiment.FaultKind;
import dockrelay.lab.spec.Experiment.FolderOnRestart;
import dockrelay.lab.spec.Experiment.NodeKind;
import dockrelay.lab.spec.Experiment.Link;
import dockrelay.lab.spec.Experiment.Nodes;
import dockrelay.lab.spec.Experiment.Permissions;
import dockrelay.lab.spec.Experiment.Probes;
import dockrelay.lab.spec.Experiment.Proxies;
import dockrelay.lab.spec.Experiment.RuleLimits;
import dockrelay.lab.spec.Experiment.DedupScope;
import dockrelay.lab.spec.Experiment.ServiceClass;
import dockrelay.lab.spec.Experiment.WorkDistribution;
import dockrelay.lab.spec.Experiment.Tenant;
import dockrelay.lab.spec.Experiment.TraceEntry;
import dockrelay.lab.spec.Experiment.WarmBy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads an experiment file. Defaults describe the deployment that the proxy was built for. */
public final class ExperimentReader {
    private static final long MICROS_PER_MILLI = 1_000, MICROS_PER_SECOND = 1_000_000, MICROS_PER_HOUR =
        3_600 * MICROS_PER_SECOND;
    private static final double MAX_NUMBER = 1e6;

    private ExperimentReader() {
    }

    /** Reads a file; throws a SpecException with a one-line message if it is invalid. */
    public static Experiment read(Path file) {
        return read(file, List.of());
    }

    /** Reads a file whose values are overridden by these settings, each of the form key=value. */
    public static Experiment read(Path file, List<String> settings) {
        try {
            Overrides overrides = Overrides.parse(settings);
            Experiment result = readExperiment(TomlSection.parse(file, Files.readString(file), overrides),
                file);
            overrides.rejectUnusedKeys();
            return result;
        } catch (NoSuchFileException e) {
            throw new SpecException(file + ": no such file");
        } catch (IOException e) {
            throw new SpecException(file + ": cannot be read: " + e.getMessage());
        }
    }

    private static Experiment readExperiment(TomlSection top, Path file) {
        String name = top.readText("name", file.getFileName().toString().replaceFirst("\\.toml$", ""));
        Proxies proxies = proxies(top.readTable("proxies"));
        Experiment result = new Experiment(name, top.readText("shows", null),
            top.readMicros("length", 20 * MICROS_PER_SECOND, MICROS_PER_SECOND, MICROS_PER_HOUR),
            top.readMicros("settle", 0, 0, MICROS_PER_HOUR), proxies, nodes(top.readTable("nodes")),
            clients(top.readTable("clients"), file), tenants(top.readTables("tenant")),
            classes(top.readTables("class")),
            discovery(top.readTable("discovery")),
            ruleLimits(top.readTable("rules")), permissions(top.readTable("permissions")),
            faults(top.readTables("fault"), proxies.sharedListenSocket()));
        top.rejectUnknownKeys();
        return result;
    }

    private static Proxies proxies(TomlSection section) {
        Proxies result = new Proxies(section.readCount("count", 2, 1, 200),
            section.readBytes("memory", 192 << 20, 64 << 20, 1L << 33),
            section.readCount("descriptors", 1024, 64, 100_000), section.readNumber("cores", 1, 0.05, 1),
            section.readMicros("start_within", 30 * MICROS_PER_SECOND, MICROS_PER_SECOND, MICROS_PER_HOUR),
            section.readBoolean("shared_socket", false),
            section.readBytes("file_limit", 0, 0, 1L << 40),
            section.readBoolean("pinned", false), section.readTexts("zones"));
        if (result.zones().size() > result.count()) {
            throw section.invalidValue("zones", "at most as many zones as proxies");
        }
        section.rejectUnknownKeys();
        return result;
    }

    private static Nodes nodes(TomlSection section) {
        List<String> zones = section.readTexts("zones");
        List<NodeKind> kinds = new ArrayList<>();
        for (TomlSection kindSection : section.readTables("kind")) {
            kinds.add(kind(kindSection, kindSection.readText("name", null), kindSection.readNumber("share",
                1, 0, 1), null, null));
        }
        if (kinds.isEmpty()) {
            kinds.add(kind(null, "fast-node", 0.58, new Range(1.3, 1.7), new Range(14, 38)));
            kinds.add(kind(null, "std-node", 0.42, new Range(0.85, 1.1), new Range(9.4, 22)));
        }
        TomlSection slowdownSection = section.readTable("choke");
        OverloadSlowdown slowdown = new OverloadSlowdown(slowdownSection.readRange("at", new Range(4, 7), 1,
            MAX_NUMBER),
            slowdownSection.readMicrosRange("over", new Range(1.5 * MICROS_PER_SECOND, 2.5
            * MICROS_PER_SECOND), MICROS_PER_MILLI, MICROS_PER_HOUR),
            slowdownSection.readRange("slower", new Range(2, 3.5), 1, 100),
            slowdownSection.readRange("below", new Range(0.25, 0.4), 0, MAX_NUMBER),
            slowdownSection.readMicrosRange("rest", new Range(2.2 * MICROS_PER_SECOND, 4.6
            * MICROS_PER_SECOND), MICROS_PER_MILLI, MICROS_PER_HOUR),
            slowdownSection.readMicrosRange("most", new Range(16 * MICROS_PER_SECOND, 34
            * MICROS_PER_SECOND), MICROS_PER_MILLI, MICROS_PER_HOUR));
        slowdownSection.rejectUnknownKeys();
        TomlSection connectionSection = section.readTable("connections");
        Connections connections =
            new Connections(connectionSection.readMicrosRange("handshake_work",
            new Range(2.8 * MICROS_PER_MILLI, 6 * MICROS_PER_MILLI), 0, MICROS_PER_SECOND),
            connectionSection.readMicrosRange("handshake_delay", new Range(0.4 * MICROS_PER_MILLI,
            MICROS_PER_MILLI), 0, MICROS_PER_SECOND),
            connectionSection.readMicros("idle", 15 * MICROS_PER_SECOND, 100 * MICROS_PER_MILLI,
            MICROS_PER_HOUR),
            connectionSection.readMicros("connect_timeout", 120 * MICROS_PER_MILLI, MICROS_PER_MILLI,
            MICROS_PER_HOUR),
            connectionSection.readRange("cap_per_core", new Range(600, 900), 1, MAX_NUMBER),
            connectionSection.readRange("full_tax", new Range(0.18, 0.34), 0, 0.95));
        connectionSection.rejectUnknownKeys();
        TomlSection probeSection = section.readTable("probes");
        Probes probes = new Probes(probeSection.readMicrosRange("work", new Range(55, 110), 0,
            MICROS_PER_SECOND),
            probeSection.readMicrosRange("period", new Range(64 * MICROS_PER_MILLI, 320 * MICROS_PER_MILLI),
            0, MICROS_PER_HOUR),
            probeSection.readRange("noise", new Range(0.045, 0.15), 0, 10));
        probeSection.rejectUnknownKeys();
        Nodes result = new Nodes(section.readCount("count", 8, 1, 1000), zones.isEmpty()
            ? List.of("dar-dc1") : zones,
            section.readCount("cell_size", 4, 1, 1000), kinds, slowdown, connections, probes);
        section.rejectUnknownKeys();
        return result;
    }

    private static NodeKind kind(TomlSection sectionOrNull, String name, double share, Range defaultSpeed,
        Range defaultMaxQueued) {
        TomlSection section = sectionOrNull == null ? emptySection() : sectionOrNull;
        NodeKind result = new NodeKind(name, share, section.readCount("cores", 1, 1, 256),
            section.readRange("speed", defaultSpeed == null ? Range.of(1) : defaultSpeed, 0.01, 100),
            section.readRange("slots_per_core", new Range(8, 24), 1, MAX_NUMBER),
            section.readRange("queue_per_core", defaultMaxQueued == null ? new Range(10, 30)
            : defaultMaxQueued, 0, MAX_NUMBER),
            section.readRange("cold_from", new Range(0.3, 0.58), 0.01, 1),
            section.readMicrosRange("cold_time", new Range(3.4 * MICROS_PER_SECOND, 8.9
            * MICROS_PER_SECOND), 0, MICROS_PER_HOUR),
            section.readEnum("warm_by", WarmBy.REQUESTS, WarmBy.class),
            section.readRange("error_rate", new Range(0, 0.003), 0, 1),
            section.readBoolean("drops_expired", true), section.readBoolean("stops_on_cancel", true));
        section.rejectUnknownKeys();
        return result;
    }

    private static TomlSection emptySection() {
        return TomlSection.parse(Path.of("defaults"), "", Overrides.NONE);
    }

    private static List<Tenant> tenants(List<TomlSection> sections) {
        List<Tenant> result = new ArrayList<>();
        for (TomlSection section : sections) {
            result.add(new Tenant(section.readText("name", null), section.readNumber("share", 1, 0, 1),
                section.readNumber("quota", 0, 0, MAX_NUMBER)));
            section.rejectUnknownKeys();
        }
        return result;
    }

    /**
     * Reads a trace of one request per row: time in seconds, then class, work in ms, tenant and routing
     * key, each of which may be empty or missing.
     */
    private static List<TraceEntry> trace(TomlSection section, Path file) {
        List<TraceEntry> result = new ArrayList<>();
        Path trace = file.resolveSibling(section.readText("trace", null));
        try {
            long previousTime = 0;
            for (String line : Files.readAllLines(trace)) {
                if (line.isBlank() || line.startsWith("#")) {
                    continue;
                }
                String[] cells = (line + ",,,,").split(",", -1);
                long sendTime = Math.round(Double.parseDouble(cells[0].trim()) * MICROS_PER_SECOND);
                if (sendTime < previousTime) {
                    throw new SpecException(trace + ": " + line + ": times must not decrease");
                }
                previousTime = sendTime;
                result.add(new TraceEntry(sendTime, cells[1].trim(), cells[2].isBlank() ? -1
                    : Double.parseDouble(cells[2].trim()) * MICROS_PER_MILLI, cells[3].trim(),
                    cells[4].trim()));
            }
        } catch (IOException | NumberFormatException e) {
            throw section.invalidValue("trace",
                "a file in this folder with rows of seconds,class,work in ms,tenant,key; "
                + e);
        }
        return result;
    }

    private static Clients clients(TomlSection section, Path file) {
        List<Double> stepLoads = new ArrayList<>();
        for (TomlSection step : section.readTables("step")) {
            stepLoads.add(step.readNumber("load", 1, 0, 10));
            step.rejectUnknownKeys();
        }
        ArrivalPattern arrivals = section.readEnum("arrivals", ArrivalPattern.POISSON, ArrivalPattern.class);
        Clients result = new Clients(section.readNumber("load", 0.6, 0, 10), section.readNumber("rate", 0,
            0, MAX_NUMBER), arrivals,
            section.readRange("swing", new Range(0.16, 0.37), 0, 1),
            section.readMicros("swing_period", 10 * MICROS_PER_SECOND, 100 * MICROS_PER_MILLI,
            MICROS_PER_HOUR), stepLoads,
            section.readRange("retries", new Range(0, 1), 0, 10),
            section.readRange("try_share", new Range(0.7, 1), 0.05, 1),
            section.readMicrosRange("backoff", new Range(12 * MICROS_PER_MILLI, 100 * MICROS_PER_MILLI), 0,
            MICROS_PER_HOUR), section.readNumber("honour", 0.9, 0, 1),
            section.readMicros("max_retry_after", 2 * MICROS_PER_SECOND, 0, MICROS_PER_HOUR),
            section.readMicrosRange("notice", new Range(1.3 * MICROS_PER_SECOND, 3 * MICROS_PER_SECOND), 0,
            MICROS_PER_HOUR),
            section.readCount("keys", 0, 0, 10_000_000), section.readNumber("key_skew", 1, 0, 10),
            arrivals == ArrivalPattern.TRACE ? trace(section, file) : List.of());
        if (result.arrivalPattern() == ArrivalPattern.STEPS && stepLoads.isEmpty()) {
            throw section.invalidValue("arrivals", "steps only together with [[clients.step]]");
        }
        section.rejectUnknownKeys();
        return result;
    }

    private static List<ServiceClass> classes(List<TomlSection> sections) {
        List<ServiceClass> result = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlSection section : sections) {
            ServiceClass serviceClass = new ServiceClass(section.readText("name", null),
                section.readNumber("share", 1, 0, 1),
                section.readMicrosRange("work", Range.of(50 * MICROS_PER_MILLI), 1, MICROS_PER_HOUR),
                section.readEnum("spread", WorkDistribution.EXP, WorkDistribution.class),
                section.readRange("cv", Range.of(1), 0, 20), section.readRange("attempt_noise",
                Range.of(0.2), 0, 5),
                section.readMicros("aim", 250 * MICROS_PER_MILLI, MICROS_PER_MILLI, MICROS_PER_HOUR),
                section.readMicros("deadline", MICROS_PER_SECOND, MICROS_PER_MILLI, MICROS_PER_HOUR),
                section.readNumber("worth", 1, 0, MAX_NUMBER), section.readNumber("late_worth", 0.25, 0, 1),
                section.readEnum("effect", Idempotency.IDEMPOTENT, Idempotency.class),
                section.readEnum("scope", DedupScope.ALL, DedupScope.class), section.readMicros("window", 0,
                0, MICROS_PER_HOUR));
            if (serviceClass.deadline() < serviceClass.latencyTarget()) {
                throw section.invalidValue("deadline", "a time of at least the aim, "
                    + UnitFormat.formatMicros(serviceClass.latencyTarget()));
            }
            if (!names.add(serviceClass.name())) {
                throw section.invalidValue("name", "a name not used by another class");
            }
            section.rejectUnknownKeys();
            result.add(serviceClass);
        }
        if (result.isEmpty()) {
            Range noise = new Range(0.05, 0.55);
            result.add(new ServiceClass("slot-lookup", 0.44, new Range(40 * MICROS_PER_MILLI, 72
                * MICROS_PER_MILLI), WorkDistribution.EXP,
                new Range(0.71, 1.4), noise, 250 * MICROS_PER_MILLI, MICROS_PER_SECOND, 5, 0.25,
                Idempotency.IDEMPOTENT, DedupScope.ALL,
                5 * MICROS_PER_SECOND));
            result.add(new ServiceClass("slot-booking", 0.39, new Range(52 * MICROS_PER_MILLI, 94
                * MICROS_PER_MILLI), WorkDistribution.EXP,
                new Range(0.76, 1.3), noise, 300 * MICROS_PER_MILLI, 600 * MICROS_PER_MILLI, 10, 0.25,
                Idempotency.DEDUPLICATED,
                DedupScope.ALL, 600 * MICROS_PER_MILLI));
            result.add(new ServiceClass("consignment-update", 0.17, new Range(58 * MICROS_PER_MILLI, 100
                * MICROS_PER_MILLI),
                WorkDistribution.LOGNORMAL, new Range(0.96, 1.5), noise, 500 * MICROS_PER_MILLI, 2
                * MICROS_PER_SECOND, 8, 0.2,
                Idempotency.DEDUPLICATED, DedupScope.CELL, 2 * MICROS_PER_SECOND));
        }
        return result;
    }

    private static Discovery discovery(TomlSection section) {
        Discovery result =
            new Discovery(section.readMicrosRange("notice_death", new Range(0.7 * MICROS_PER_SECOND, 3.4
            * MICROS_PER_SECOND), 0, MICROS_PER_HOUR),
            section.readMicrosRange("notice_start", new Range(0.22 * MICROS_PER_SECOND, 2.5
            * MICROS_PER_SECOND), 0, MICROS_PER_HOUR),
            section.readMicrosRange("call_cost", new Range(20 * MICROS_PER_MILLI, 60 * MICROS_PER_MILLI), 0,
            MICROS_PER_HOUR),
            section.readMicrosRange("line_cost", new Range(0.5 * MICROS_PER_MILLI, 2 * MICROS_PER_MILLI), 0,
            MICROS_PER_HOUR),
            section.readMicros("timeout", MICROS_PER_SECOND, MICROS_PER_MILLI, MICROS_PER_HOUR),
            section.readMicrosRange("lag", Range.of(0), 0, MICROS_PER_HOUR));
        section.rejectUnknownKeys();
        return result;
    }

    private static RuleLimits ruleLimits(TomlSection section) {
        RuleLimits result = new RuleLimits(section.readMicros("answer_slack", 20 * MICROS_PER_MILLI, 0,
            MICROS_PER_HOUR),
            section.readMicros("ask_within", 10 * MICROS_PER_SECOND, 0, MICROS_PER_HOUR),
            section.readNumber("cold_share", 0.3, 0.01, 1),
            section.readMicros("cold", 8_900 * MICROS_PER_MILLI, 0, MICROS_PER_HOUR),
            section.readMicros("drain_grace", 1_500 * MICROS_PER_MILLI, 0, MICROS_PER_HOUR),
            section.readMicros("fall", MICROS_PER_SECOND, MICROS_PER_MILLI, MICROS_PER_HOUR),
            section.readNumber("fall_multiple", 3, 1, 1000));
        section.rejectUnknownKeys();
        return result;
    }

    private static Permissions permissions(TomlSection section) {
        Permissions result = new Permissions(section.readCount("max_attempts", 6, 1, 100),
            section.readBoolean("cancel", true),
            section.readBoolean("second_copies", true), section.readBoolean("probes", true),
            section.readBoolean("peers", false),
            section.readBoolean("retry_after", true), section.readNumber("extra", 0, 0, 100_000));
        section.rejectUnknownKeys();
        return result;
    }

    private static Link link(TomlSection section) {
        Link link = new Link(section.readTexts("from"), section.readTexts("to"), section.readBoolean("both",
            true), new Passage(
            section.readEnum("mode", Passage.Mode.OPEN, Passage.Mode.class), section.readMicros("delay", 0,
            0, MICROS_PER_HOUR),
            section.readMicros("jitter", 0, 0, MICROS_PER_HOUR), section.readNumber("loss", 0, 0, 1),
            section.readNumber("duplicate", 0, 0, 1),
            section.readNumber("reorder", 0, 0, 1)));
        if (link.from().isEmpty() || link.to().isEmpty()) {
            throw section.invalidValue(link.from().isEmpty() ? "from" : "to",
                "names of parties: clients, proxies, nodes, "
                + "discovery, n0, s-1, zone:a");
        }
        return link;
    }

    private static List<Fault> faults(List<TomlSection> sections, boolean sharedSocket) {
        List<Fault> result = new ArrayList<>();
        for (TomlSection section : sections) {
            FaultKind kind = section.readEnum("kind", null, FaultKind.class);
            boolean restartsProxy = kind == FaultKind.KILL || kind == FaultKind.TERM;
            Range magnitude = switch (kind) {
                case SLOW -> section.readRange("size", new Range(3.5, 9.7), 1, 1000);
                case FAST_ERRORS -> section.readRange("size", new Range(0.3, 1), 0, 1);
                case NEIGHBOUR -> section.readRange("size", new Range(0.32, 0.73), 0, 0.99);
                default -> Range.of(0);
            };
            Fault fault = new Fault(kind, section.readMicros("at", 5 * MICROS_PER_SECOND, 0, MICROS_PER_HOUR),
                section.readMicros("lasts", 5 * MICROS_PER_SECOND, 0, MICROS_PER_HOUR),
                section.readNumber("part", 0, 0, 1), section.readCount("count", 0, 0, 1000),
                section.readTexts("victims"), magnitude,
                section.readMicros("every", 0, 0, MICROS_PER_HOUR), section.readCount("times", 1, 1, 10_000),
                restartsProxy ? section.readEnum("folder", FolderOnRestart.EMPTY, FolderOnRestart.class)
                : FolderOnRestart.EMPTY,
                restartsProxy ? section.readEnum("disk", DiskFault.WHOLE, DiskFault.class) : DiskFault.WHOLE,
                kind == FaultKind.LINK ? link(section) : null);
            boolean drawsVictims = fault.victimShare() > 0 || fault.victimCount() > 0;
            if ((kind.targetsNodes() || kind.targetsProxies()) && drawsVictims == !fault.victims()
                .isEmpty()) {
                throw section.invalidValue("kind",
                    "a fault with either victims, or a part or count of them to draw");
            }
            if (kind == FaultKind.UPGRADE && !sharedSocket) {
                throw section.invalidValue("kind", "upgrade only with proxies.shared_socket = true");
            }
            if (fault.occurrences() > 1 && fault.repeatInterval() <= 0) {
                throw section.invalidValue("every", "a time above 0s if times is above 1");
            }
            section.rejectUnknownKeys();
            result.add(fault);
        }
        return result;
    }
}
