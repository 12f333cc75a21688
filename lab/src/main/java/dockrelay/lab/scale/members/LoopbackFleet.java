package dockrelay.lab.scale.members;

import dockrelay.fleet.MemberStateChange;
import dockrelay.fleet.MembershipSnapshot;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;

/** Hollow members with one UDP socket each on the loopback interface, spread over threads of this process. */
final class LoopbackFleet implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 2048, MAX_DATAGRAMS_PER_READ = 64;
    private static final long MICROS_PER_SECOND = 1_000_000, SAMPLE_INTERVAL_MICROS = 100_000;

    /**
     * A member's view of the membership when it was last sampled, and the time of the sample in microseconds.
     */
    record Sample(MembershipSnapshot snapshot, String digest, long sampledAtMicros) {
    }

    /** A scheduled wake-up; it is ignored if the member has been rescheduled since. */
    private record WakeUp(long timeMicros, Member member) {
    }

    /** An event loop thread and the members that it runs. */
    private final class Worker extends Thread {
        private final Selector selector = Selector.open();
        private final PriorityQueue<WakeUp> wakeUps =
            new PriorityQueue<>(Comparator.comparingLong(WakeUp::timeMicros));
        private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
        private final List<Member> members = new ArrayList<>();
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
        private final ConcurrentHistogram wakeUpDelays = new ConcurrentHistogram(2);
        private long nextSampleAt;
        private volatile boolean stopped;
        private volatile String failure;

        Worker(int number) throws IOException {
            super("hollow-" + number);
            setDaemon(true);
        }

        /** Runs the task on this thread; may be called from any thread. */
        void submit(Runnable task) {
            tasks.add(task);
            selector.wakeup();
        }

        @Override
        public void run() {
            try {
                while (!stopped) {
                    runOnce();
                }
            } catch (IOException | RuntimeException e) {
                failure = e.toString();
            }
        }

        /** One pass of the event loop: datagrams, submitted tasks, due wake-ups, samples. */
        private void runOnce() throws IOException {
            WakeUp firstWakeUp = wakeUps.peek();
            long now = now(), waitUntil = Math.min(nextSampleAt, firstWakeUp == null ? Long.MAX_VALUE
                : firstWakeUp.timeMicros);
            if (waitUntil - now >= 1000) {
                selector.select((waitUntil - now) / 1000);
            } else {
                selector.selectNow();
            }
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    ((Member) key.attachment()).readDatagrams(buffer);
                }
            }
            selector.selectedKeys().clear();
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            for (WakeUp wakeUp = wakeUps.peek(); wakeUp != null && wakeUp.timeMicros <= now();
                wakeUp = wakeUps.peek()) {
                wakeUps.poll();
                if (wakeUp.member.isScheduledAt(wakeUp.timeMicros)) {
                    wakeUpDelays.recordValue(Math.max(0, now() - wakeUp.timeMicros));
                    wakeUp.member.tick();
                }
            }
            if (now() >= nextSampleAt) {
                nextSampleAt = now() + SAMPLE_INTERVAL_MICROS;
                members.forEach(Member::publishSample);
            }
        }
    }

    /** A member with its socket; used by its worker thread only. */
    private final class Member implements HollowMember.Callbacks {
        final String name;
        final int index;
        final Worker worker;
        final DatagramChannel channel;
        HollowMember stateMachine;
        long wakeUpAt = Long.MAX_VALUE;

        Member(String name, int index, Worker worker, DatagramChannel channel) {
            this.name = name;
            this.index = index;
            this.worker = worker;
            this.channel = channel;
        }

        /** Creates the state machine and registers the socket. */
        void start(Layout layout, Random random) throws IOException {
            channel.configureBlocking(false);
            channel.register(worker.selector, SelectionKey.OP_READ, this);
            stateMachine = variant.create(name, layout, System.currentTimeMillis() / 1000, random, this,
                now());
            worker.members.add(this);
            scheduleWakeUp();
        }

        /** Schedules the next wake-up, unless an earlier one is already queued. */
        void scheduleWakeUp() {
            if (stateMachine.nextTickAt() < wakeUpAt) {
                wakeUpAt = stateMachine.nextTickAt();
                worker.wakeUps.add(new WakeUp(wakeUpAt, this));
            }
        }

        /** Whether a wake-up for this time is still valid. */
        boolean isScheduledAt(long timeMicros) {
            return timeMicros == wakeUpAt && stateMachine != null;
        }

        void tick() {
            wakeUpAt = Long.MAX_VALUE;
            stateMachine.tick(now());
            scheduleWakeUp();
        }

        /** Handles a bounded number of received datagrams. */
        void readDatagrams(ByteBuffer buffer) throws IOException {
            for (int i = 0; i < MAX_DATAGRAMS_PER_READ && stateMachine != null; i++) {
                buffer.clear();
                InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
                if (sender == null) {
                    return;
                }
                buffer.flip();
                receivedTraffic.record(index, buffer.remaining());
                stateMachine.receive(now(), nameByAddress.get(sender), buffer);
                scheduleWakeUp();
            }
        }

        /** Publishes this member's current view. */
        void publishSample() {
            if (stateMachine != null) {
                long sampledAt = now();
                latestSamples.put(name, new Sample(stateMachine.snapshot(sampledAt), stateMachine.digest(),
                    sampledAt));
            }
        }

        /** Stops the member and closes its socket. */
        void stop() {
            stateMachine = null;
            worker.members.remove(this);
            latestSamples.remove(name);
            try {
                channel.close();
            } catch (IOException e) {
                worker.failure = e.toString();
            }
        }

        @Override
        public void send(String receiver, ByteBuffer datagram) {
            int lengthBytes = datagram.remaining();
            sentTraffic.record(index, lengthBytes);
            try {
                channel.send(datagram, addresses.get(receiver));
            } catch (IOException e) {
                unsentDatagrams.incrementAndGet(); // counts as lost: the send buffer was full
            }
        }

        @Override
        public void memberChanged(MemberStateChange change) {
            // the resulting state is sampled instead
        }
    }

    private final HollowMember.Variant variant;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, String> nameByAddress = new ConcurrentHashMap<>();
    private final Map<String, Member> membersByName = new HashMap<>();
    private final Map<String, Sample> latestSamples = new ConcurrentHashMap<>();
    private final List<Worker> workers = new ArrayList<>();
    private final AtomicInteger unsentDatagrams = new AtomicInteger();
    final Traffic sentTraffic, receivedTraffic;

    /**
     * Opens a socket for each of these names.
     *
     * @param remoteAddresses addresses of members that run elsewhere, by name
     */
    LoopbackFleet(HollowMember.Variant variant, Collection<String> names,
        Map<String, InetSocketAddress> remoteAddresses, int threadCount) throws IOException {
        this.variant = variant;
        this.sentTraffic = new Traffic(names.size());
        this.receivedTraffic = new Traffic(names.size());
        for (int i = 0; i < threadCount; i++) {
            workers.add(new Worker(i));
        }
        for (String name : names) {
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            membersByName.put(name, new Member(name, membersByName.size(),
                workers.get(membersByName.size() % threadCount), channel));
            addresses.put(name, (InetSocketAddress) channel.getLocalAddress());
        }
        addresses.putAll(remoteAddresses);
        addresses.forEach((name, address) -> nameByAddress.put(address, name));
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    /** Address of a member of this fleet or of one that runs elsewhere. */
    InetSocketAddress addressOf(String name) {
        return addresses.get(name);
    }

    /** Starts the threads and all members. */
    void start(Layout layout, long seed) {
        Random random = new Random(seed);
        for (Member member : membersByName.values()) {
            Random memberRandom = new Random(random.nextLong());
            member.worker.submit(() -> {
                try {
                    member.start(layout, memberRandom);
                } catch (IOException e) {
                    member.worker.failure = e.toString();
                }
            });
        }
        workers.forEach(Thread::start);
    }

    /** Stops a member without notice to its peers, as if its machine had failed. */
    void kill(String name) {
        Member member = membersByName.get(name);
        member.worker.submit(member::stop);
    }

    /** Latest sample of each running member by name, refreshed ten times a second; safe from any thread. */
    Map<String, Sample> latestSamples() {
        return latestSamples;
    }

    /** Number of datagrams that a socket did not accept. */
    int unsentDatagrams() {
        return unsentDatagrams.get();
    }

    /** The 99th percentile of wake-up delays of the slowest thread, in microseconds: its CPU starvation. */
    long wakeUpDelayP99Micros() {
        return workers.stream().mapToLong(worker -> worker.wakeUpDelays.getValueAtPercentile(99)).max()
            .orElse(0);
    }

    /** The exception that ended a thread, or null. */
    String failure() {
        return workers.stream().map(worker -> worker.failure).filter(failure -> failure != null).findFirst()
            .orElse(null);
    }

    /** CPU time of all worker threads together, in seconds. */
    double cpuSeconds() {
        long cpuNanos = 0;
        for (Worker worker : workers) {
            cpuNanos += ManagementFactory.getThreadMXBean().getThreadCpuTime(worker.getId());
        }
        return cpuNanos / 1e3 / MICROS_PER_SECOND;
    }

    @Override
    public void close() {
        for (Worker worker : workers) {
            worker.stopped = true;
            worker.selector.wakeup();
        }
        for (Worker worker : workers) {
            try {
                worker.join();
                worker.selector.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                worker.failure = e.toString();
            }
        }
        for (Member member : membersByName.values()) {
            try {
                member.channel.close();
            } catch (IOException e) {
                member.worker.failure = e.toString();
            }
        }
    }
}
