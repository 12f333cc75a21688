package dockrelay.lab.scale.members;

import dockrelay.lab.scale.members.RealProxies.Said;
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
 * Hollow members on sockets and real proxies beside them, by the clock: quiet, some die singly, a seventh
 * dies at once. What the real ones say at their consoles has to be what the hollow ones hold.
 */
final class RealPlay {
    private static final long SECOND = 1_000_000, START_WITHIN = 60 * SECOND;
    private static final long POLL_MILLIS = 100;

    private final HollowMember.Kind kind;
    private final Layout layout;
    private final Map<String, Long> numbers;
    private final int proxies, threads;
    private final long seed;
    private final Path root;
    private final Figures figures;
    private RealProxies real;
    private LoopbackFleet hollow;
    private int live;
    private long rolledAt = now();

    /** The size counts the real ones among the members. */
    RealPlay(HollowMember.Kind kind, int size, Map<String, Long> numbers, int proxies, int threads, long seed,
             Path root, Figures figures) {
        this.kind = kind;
        this.numbers = numbers;
        this.proxies = proxies;
        this.threads = threads;
        this.seed = seed;
        this.root = root;
        this.figures = figures;
        Map<String, String> zones = new LinkedHashMap<>();
        List<String> all = List.copyOf(Layout.of(size).zones().keySet());
        for (int i = 0; i < proxies; i++) {
            zones.put("n" + i, all.get(i % all.size()));
        }
        this.layout = Layout.of(size - proxies).with(zones);
    }

    void play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("dockrelay-scale-");
        try (RealProxies processes = new RealProxies(proxies, root, folder, seed)) {
            real = processes;
            List<String> names = layout.names().stream().filter(name -> !real.peers().containsKey(name))
                .toList();
            try (LoopbackFleet sockets = new LoopbackFleet(kind, names, real.peers(), threads)) {
                hollow = sockets;
                Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
                layout.names().forEach(name -> addresses.put(name, hollow.address(name)));
                live = addresses.size();
                real.start(addresses, kind, layout);
                hollow.start(layout, seed);
                run();
                if (hollow.failed() != null) {
                    throw new IOException("a thread of the hollow members ended: " + hollow.failed());
                }
            }
        }
    }

    private void run() throws IOException, InterruptedException {
        List<Double> started = await(START_WITHIN, this::agrees,
            said -> said.allAgree() && said.count("counted") == live);
        figures.times("start, all agree, with the processes' own start", started, live - started.size());
        seconds(numbers.get("warm"));
        quiet();
        List<String> drawn = new ArrayList<>(hollow.seen().keySet());
        Collections.sort(drawn);
        Collections.shuffle(drawn, new Random(seed));
        List<Double> times = new ArrayList<>();
        int deaths = numbers.get("deaths").intValue(), asked = 0;
        for (int i = 0; i < deaths; i++) {
            hollow.kill(drawn.get(i));
            live--;
            asked += live;
            times.addAll(await(numbers.get("gap"), seen -> seen.standing().countedMembers() == live,
                said -> said.count("counted") == live));
        }
        figures.times("a death, counted by all, real ones among them", times, asked - times.size());
        sameDigest("after deaths");
        hollow.out.clear();
        hollow.in.clear();
        int seventh = layout.size() / 7;
        drawn.subList(deaths, deaths + seventh).forEach(hollow::kill);
        live -= seventh;
        times = await(numbers.get("look"), seen -> seen.standing().countedMembers() == live,
            said -> said.count("counted") == live);
        figures.times("a seventh lost, counted by all, real ones among them", times, live - times.size());
        figures.add("bytes sent, most in any 10 s, a seventh lost", "B/s", hollow.out.mostInTenSeconds());
        figures.add("bytes received, most in any 10 s, a seventh lost", "B/s", hollow.in.mostInTenSeconds());
        sameDigest("after a seventh was lost");
        figures.add("lateness of the hollow members' own threads, p99", "ms", hollow.lateness() / 1e3);
        figures.add("datagrams that a socket did not take", "datagrams", hollow.unsent());
    }

    private void quiet() throws IOException, InterruptedException {
        hollow.out.clear();
        hollow.in.clear();
        int count = hollow.seen().size();
        double cpu = hollow.cpuSeconds(), cpuReal = real.cpuSeconds();
        long began = now();
        seconds(numbers.get("quiet"));
        double lasted = (double) (now() - began) / SECOND;
        figures.add("processor of a hollow member, with its socket's", "% of a core", (hollow.cpuSeconds()
            - cpu) / lasted / count * 100);
        figures.add("processor of a real proxy without requests", "% of a core", (real.cpuSeconds() - cpuReal)
            / lasted / real.count() * 100);
        figures.add("memory of a real proxy, resident, most", "MB", real.residentKib() / 1e3);
        figures.add("bytes sent, mean of all hollow members", "B/s", hollow.out.bytes() / lasted / count);
        figures.add("bytes sent, busiest hollow member", "B/s", hollow.out.mostOfOne() / lasted);
        figures.add("bytes sent, most in any 10 s, hollow", "B/s", hollow.out.mostInTenSeconds());
        figures.add("bytes received, mean of all hollow members", "B/s", hollow.in.bytes() / lasted / count);
        figures.add("bytes received, busiest hollow member", "B/s", hollow.in.mostOfOne() / lasted);
        figures.add("bytes received, most in any 10 s, hollow", "B/s", hollow.in.mostInTenSeconds());
        figures.add("datagrams sent by a hollow member", "1/s", hollow.out.datagrams() / lasted / count);
        double shares = hollow.seen().values().stream().mapToDouble(one -> one.standing().budgetShare()).sum();
        for (Said said : real.said()) {
            shares += Double.parseDouble(said.words().getOrDefault("share", "0"));
        }
        figures.add("share of a budget given out, real ones among them", "share", shares);
        sameDigest("on a quiet day");
    }

    /** Whether the real ones hold what the hollow ones beside them do; the digest of a group is its own. */
    private void sameDigest(String when) {
        int same = 0;
        List<Said> said = real.said();
        for (Said one : said) {
            int group = kind.group(layout, one.name());
            same += hollow.seen().entrySet().stream().filter(other -> kind.group(layout, other.getKey())
                == group).allMatch(other -> other.getValue().digest().equals(one.digest()))
                && one.count("counted") == live ? 1 : 0;
        }
        figures.add("real proxies with the count and digest of the hollow ones, " + when, "of "
            + real.count(), same);
    }

    private boolean agrees(LoopbackFleet.Seen seen) {
        return seen.standing().agreement() == dockrelay.fleet.MembershipSnapshot.Agreement.ALL
            && seen.standing().countedMembers() == live;
    }

    /** Waits for the time given; from when on each was right and stayed so, hollow and real. */
    private List<Double> await(long lasts, Predicate<LoopbackFleet.Seen> right, Predicate<Said> rightReal)
        throws IOException, InterruptedException {
        long began = now();
        Map<String, Long> since = new HashMap<>();
        while (now() - began < lasts) {
            long at = now();
            hollow.seen().forEach((name, seen) -> {
                if (seen.at() >= began) {
                    note(since, name, right.test(seen), seen.at());
                }
            });
            real.said().forEach(said -> note(since, said.name(), rightReal.test(said), now()));
            if (lasts == START_WITHIN && since.values().stream().allMatch(one -> one >= 0)) {
                break;
            }
            pause(at);
        }
        return since.values().stream().filter(at -> at >= 0).map(at -> (double) (at - began) / SECOND)
            .toList();
    }

    private static void note(Map<String, Long> since, String name, boolean right, long at) {
        since.merge(name, right ? at : -1L, (before, now) -> now < 0 ? now : before < 0 ? now : before);
    }

    private void seconds(long lasts) throws IOException, InterruptedException {
        for (long began = now(); now() - began < lasts;) {
            pause(now());
        }
    }

    private void pause(long began) throws IOException, InterruptedException {
        if (real.crashed() != null) {
            throw new IOException("a real proxy ended: " + real.crashed());
        }
        TimeUnit.MICROSECONDS.sleep(Math.max(0, POLL_MILLIS * 1000 - (now() - began)));
        while (now() - rolledAt >= SECOND) {
            rolledAt += SECOND;
            hollow.out.roll();
            hollow.in.roll();
        }
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }
}
