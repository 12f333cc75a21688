package dockrelay.lab.scale.members;

import dockrelay.lab.scale.members.RealProxies.MembersReply;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Runs hollow members on sockets beside real proxies, in real time: an idle phase, some single deaths, then
 * the loss of a seventh of the members. Compares what the consoles of the real proxies report with the state
 * of the hollow members.
 */
final class LoopbackPlay {
    private static final long MICROS_PER_SECOND = 1_000_000, START_TIMEOUT_MICROS = 60 * MICROS_PER_SECOND;
    private static final long POLL_INTERVAL_MILLIS = 100;

    private final HollowMember.Variant variant;
    private final Layout layout;
    private final Map<String, Long> settings;
    private final int proxyCount, threadCount;
    private final long seed;
    private final Path root;
    private final Figures figures;
    private RealProxies realProxies;
    private LoopbackFleet hollowFleet;
    private int liveCount;
    private long trafficSecondStart = now();

    /** Creates a run with {@code size} members, of which {@code proxyCount} are real. */
    LoopbackPlay(HollowMember.Variant variant, int size, Map<String, Long> settings, int proxyCount,
        int threadCount, long seed, Path root, Figures figures) {
        this.variant = variant;
        this.settings = settings;
        this.proxyCount = proxyCount;
        this.threadCount = threadCount;
        this.seed = seed;
        this.root = root;
        this.figures = figures;
        Map<String, String> zoneByProxy = new LinkedHashMap<>();
        List<String> zoneNames = List.copyOf(Layout.of(size).zones().keySet());
        for (int i = 0; i < proxyCount; i++) {
            zoneByProxy.put("n" + i, zoneNames.get(i % zoneNames.size()));
        }
        this.layout = Layout.of(size - proxyCount).withNames(zoneByProxy);
    }

    /** Runs all phases and records their figures. */
    void play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("dockrelay-scale-");
        try (RealProxies proxies = new RealProxies(proxyCount, root, folder, seed)) {
            realProxies = proxies;
            List<String> names = layout.names().stream()
                .filter(name -> !realProxies.peerAddresses().containsKey(name)).toList();
            try (LoopbackFleet fleet = new LoopbackFleet(variant, names, realProxies.peerAddresses(),
                threadCount)) {
                hollowFleet = fleet;
                Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
                layout.names().forEach(name -> addresses.put(name, hollowFleet.addressOf(name)));
                liveCount = addresses.size();
                realProxies.start(addresses, variant, layout);
                hollowFleet.start(layout, seed);
                run();
                if (hollowFleet.failure() != null) {
                    throw new IOException("a thread of the hollow members ended: " + hollowFleet.failure());
                }
            }
        }
    }

    /** The phases, once all members have been started. */
    private void run() throws IOException, InterruptedException {
        List<Double> startSeconds = awaitState(START_TIMEOUT_MICROS, this::agreesOnAll,
            reply -> reply.allAgree() && reply.count("counted") == liveCount);
        figures.addTimes("start, all agree, with the processes' own start", startSeconds,
            liveCount - startSeconds.size());
        sleepMicros(settings.get("warm"));
        measureIdle();
        List<String> shuffled = new ArrayList<>(hollowFleet.latestSamples().keySet());
        Collections.sort(shuffled);
        Collections.shuffle(shuffled, new Random(seed));
        List<Double> detectionSeconds = new ArrayList<>();
        int deathCount = settings.get("deaths").intValue(), observations = 0;
        for (int i = 0; i < deathCount; i++) {
            hollowFleet.kill(shuffled.get(i));
            liveCount--;
            observations += liveCount;
            detectionSeconds.addAll(awaitState(settings.get("gap"),
                sample -> sample.snapshot().countedMembers() == liveCount,
                reply -> reply.count("counted") == liveCount));
        }
        figures.addTimes("a death, counted by all, real ones among them", detectionSeconds,
            observations - detectionSeconds.size());
        compareDigests("after deaths");
        hollowFleet.sentTraffic.reset();
        hollowFleet.receivedTraffic.reset();
        int seventhCount = layout.size() / 7;
        shuffled.subList(deathCount, deathCount + seventhCount).forEach(hollowFleet::kill);
        liveCount -= seventhCount;
        detectionSeconds = awaitState(settings.get("look"),
            sample -> sample.snapshot().countedMembers() == liveCount,
            reply -> reply.count("counted") == liveCount);
        figures.addTimes("a seventh lost, counted by all, real ones among them", detectionSeconds,
            liveCount - detectionSeconds.size());
        figures.add("bytes sent, most in any 10 s, a seventh lost", "B/s",
            hollowFleet.sentTraffic.peakBytesPerSecond());
        figures.add("bytes received, most in any 10 s, a seventh lost", "B/s",
            hollowFleet.receivedTraffic.peakBytesPerSecond());
        compareDigests("after a seventh was lost");
        figures.add("lateness of the hollow members' own threads, p99", "ms",
            hollowFleet.wakeUpDelayP99Micros() / 1e3);
        figures.add("datagrams that a socket did not take", "datagrams", hollowFleet.unsentDatagrams());
    }

    /** Measures CPU, memory and traffic of members that only maintain the membership. */
    private void measureIdle() throws IOException, InterruptedException {
        hollowFleet.sentTraffic.reset();
        hollowFleet.receivedTraffic.reset();
        int memberCount = hollowFleet.latestSamples().size();
        double cpuBefore = hollowFleet.cpuSeconds(), realCpuBefore = realProxies.cpuSeconds();
        long startedAt = now();
        sleepMicros(settings.get("quiet"));
        double elapsedSeconds = (double) (now() - startedAt) / MICROS_PER_SECOND;
        figures.add("processor of a hollow member, with its socket's", "% of a core",
            (hollowFleet.cpuSeconds() - cpuBefore) / elapsedSeconds / memberCount * 100);
        figures.add("processor of a real proxy without requests", "% of a core",
            (realProxies.cpuSeconds() - realCpuBefore) / elapsedSeconds / realProxies.count() * 100);
        figures.add("memory of a real proxy, resident, most", "MB", realProxies.maxResidentKib() / 1e3);
        figures.add("bytes sent, mean of all hollow members", "B/s",
            hollowFleet.sentTraffic.totalBytes() / elapsedSeconds / memberCount);
        figures.add("bytes sent, busiest hollow member", "B/s",
            hollowFleet.sentTraffic.maxMemberBytes() / elapsedSeconds);
        figures.add("bytes sent, most in any 10 s, hollow", "B/s",
            hollowFleet.sentTraffic.peakBytesPerSecond());
        figures.add("bytes received, mean of all hollow members", "B/s",
            hollowFleet.receivedTraffic.totalBytes() / elapsedSeconds / memberCount);
        figures.add("bytes received, busiest hollow member", "B/s",
            hollowFleet.receivedTraffic.maxMemberBytes() / elapsedSeconds);
        figures.add("bytes received, most in any 10 s, hollow", "B/s",
            hollowFleet.receivedTraffic.peakBytesPerSecond());
        figures.add("datagrams sent by a hollow member", "1/s",
            hollowFleet.sentTraffic.totalDatagrams() / elapsedSeconds / memberCount);
        double totalShare = hollowFleet.latestSamples().values().stream()
            .mapToDouble(sample -> sample.snapshot().budgetShare()).sum();
        for (MembersReply reply : realProxies.queryMembers()) {
            totalShare += Double.parseDouble(reply.values().getOrDefault("share", "0"));
        }
        figures.add("share of a budget given out, real ones among them", "share", totalShare);
        compareDigests("on a quiet day");
    }

    /** Counts the real proxies whose member count and group digest equal those of the hollow members. */
    private void compareDigests(String phase) {
        int matching = 0;
        List<MembersReply> replies = realProxies.queryMembers();
        for (MembersReply reply : replies) {
            int group = variant.groupOf(layout, reply.name());
            matching += hollowFleet.latestSamples().entrySet().stream()
                .filter(entry -> variant.groupOf(layout, entry.getKey()) == group)
                .allMatch(entry -> entry.getValue().digest().equals(reply.digest()))
                && reply.count("counted") == liveCount ? 1 : 0;
        }
        figures.add("real proxies with the count and digest of the hollow ones, " + phase, "of "
            + realProxies.count(), matching);
    }

    /** Whether this hollow member counts all members and knows that all agree. */
    private boolean agreesOnAll(LoopbackFleet.Sample sample) {
        return sample.snapshot().agreement() == dockrelay.fleet.MembershipSnapshot.Agreement.ALL
            && sample.snapshot().countedMembers() == liveCount;
    }

    /**
     * Waits and watches the hollow and the real members. The start phase ends as soon as all match.
     *
     * @param durationMicros how long to watch, in microseconds
     * @return for each member that matches at the end, the seconds until it did so for good
     */
    private List<Double> awaitState(long durationMicros, Predicate<LoopbackFleet.Sample> hollowCondition,
        Predicate<MembersReply> realCondition) throws IOException, InterruptedException {
        long startedAt = now();
        Map<String, Long> matchedSince = new HashMap<>();
        while (now() - startedAt < durationMicros) {
            long timestamp = now();
            hollowFleet.latestSamples().forEach((name, sample) -> {
                if (sample.sampledAtMicros() >= startedAt) {
                    recordMatch(matchedSince, name, hollowCondition.test(sample), sample.sampledAtMicros());
                }
            });
            realProxies.queryMembers().forEach(reply -> recordMatch(matchedSince, reply.name(),
                realCondition.test(reply), now()));
            if (durationMicros == START_TIMEOUT_MICROS && matchedSince.values().stream()
                .allMatch(matchedAt -> matchedAt >= 0)) {
                break;
            }
            sleepUntilNextPoll(timestamp);
        }
        return matchedSince.values().stream().filter(timestamp -> timestamp >= 0)
            .map(timestamp -> (double) (timestamp - startedAt) / MICROS_PER_SECOND).toList();
    }

    /** Records since when a member matches; -1 means that it does not. */
    private static void recordMatch(Map<String, Long> matchedSince, String name, boolean matches,
        long timestamp) {
        matchedSince.merge(name, matches ? timestamp : -1L, (previous, current) ->
            current < 0 ? current : previous < 0 ? current : previous);
    }

    /** Sleeps for this many microseconds while counting traffic seconds and watching for crashes. */
    private void sleepMicros(long durationMicros) throws IOException, InterruptedException {
        for (long startedAt = now(); now() - startedAt < durationMicros;) {
            sleepUntilNextPoll(now());
        }
    }

    /** Sleeps until the poll interval that began at this time is over. */
    private void sleepUntilNextPoll(long pollStartedAt) throws IOException, InterruptedException {
        if (realProxies.crashReport() != null) {
            throw new IOException("a real proxy exited unexpectedly: " + realProxies.crashReport());
        }
        TimeUnit.MICROSECONDS.sleep(Math.max(0, POLL_INTERVAL_MILLIS * 1000 - (now() - pollStartedAt)));
        while (now() - trafficSecondStart >= MICROS_PER_SECOND) {
            trafficSecondStart += MICROS_PER_SECOND;
            hollowFleet.sentTraffic.endSecond();
            hollowFleet.receivedTraffic.endSecond();
        }
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }
}
