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

/** Hollow members with a real socket each, on loopback, spread over some threads of this process. */
final class LoopbackFleet implements AutoCloseable {
    private static final int LONGEST = 2048, MOST_AT_ONCE = 64;
    private static final long SECOND = 1_000_000, LOOK = 100_000;

    /** What a member went by when it was last looked at; which of its looks that was. */
    record Seen(MembershipSnapshot standing, String digest, long at) {
    }

    /** Wakes in the order of their times; one that is no longer true is passed over. */
    private record Wake(long at, One one) {
    }

    /** One thread with its members. */
    private final class Worker extends Thread {
        private final Selector selector = Selector.open();
        private final PriorityQueue<Wake> wakes = new PriorityQueue<>(Comparator.comparingLong(Wake::at));
        private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
        private final List<One> members = new ArrayList<>();
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(LONGEST);
        private final ConcurrentHistogram late = new ConcurrentHistogram(2);
        private long lookAt;
        private volatile boolean ended;
        private volatile String failed;

        Worker(int number) throws IOException {
            super("hollow-" + number);
            setDaemon(true);
        }

        void submit(Runnable task) {
            tasks.add(task);
            selector.wakeup();
        }

        @Override
        public void run() {
            try {
                while (!ended) {
                    turn();
                }
            } catch (IOException | RuntimeException e) {
                failed = e.toString();
            }
        }

        private void turn() throws IOException {
            Wake first = wakes.peek();
            long now = now(), until = Math.min(lookAt, first == null ? Long.MAX_VALUE : first.at);
            if (until - now >= 1000) {
                selector.select((until - now) / 1000);
            } else {
                selector.selectNow();
            }
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    ((One) key.attachment()).read(buffer);
                }
            }
            selector.selectedKeys().clear();
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            for (Wake wake = wakes.peek(); wake != null && wake.at <= now(); wake = wakes.peek()) {
                wakes.poll();
                if (wake.one.due(wake.at)) {
                    late.recordValue(Math.max(0, now() - wake.at));
                    wake.one.wake();
                }
            }
            if (now() >= lookAt) {
                lookAt = now() + LOOK;
                members.forEach(One::look);
            }
        }
    }

    /** One member with its socket. */
    private final class One implements HollowMember.Actions {
        final String name;
        final int index;
        final Worker worker;
        final DatagramChannel channel;
        HollowMember machine;
        long wakeAt = Long.MAX_VALUE;

        One(String name, int index, Worker worker, DatagramChannel channel) {
            this.name = name;
            this.index = index;
            this.worker = worker;
            this.channel = channel;
        }

        void begin(Layout layout, Random random) throws IOException {
            channel.configureBlocking(false);
            channel.register(worker.selector, SelectionKey.OP_READ, this);
            machine = kind.make(name, layout, System.currentTimeMillis() / 1000, random, this, now());
            worker.members.add(this);
            schedule();
        }

        void schedule() {
            if (machine.nextAt() < wakeAt) {
                wakeAt = machine.nextAt();
                worker.wakes.add(new Wake(wakeAt, this));
            }
        }

        boolean due(long at) {
            return at == wakeAt && machine != null;
        }

        void wake() {
            wakeAt = Long.MAX_VALUE;
            machine.tick(now());
            schedule();
        }

        void read(ByteBuffer buffer) throws IOException {
            for (int i = 0; i < MOST_AT_ONCE && machine != null; i++) {
                buffer.clear();
                InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
                if (from == null) {
                    return;
                }
                buffer.flip();
                in.add(index, buffer.remaining());
                machine.receive(now(), nameAt.get(from), buffer);
                schedule();
            }
        }

        void look() {
            if (machine != null) {
                long at = now();
                seen.put(name, new Seen(machine.standing(at), machine.digest(), at));
            }
        }

        void end() {
            machine = null;
            worker.members.remove(this);
            seen.remove(name);
            try {
                channel.close();
            } catch (IOException e) {
                worker.failed = e.toString();
            }
        }

        @Override
        public void send(String to, ByteBuffer datagram) {
            int length = datagram.remaining();
            out.add(index, length);
            try {
                channel.send(datagram, addresses.get(to));
            } catch (IOException e) {
                unsent.incrementAndGet(); // as lost: its socket's buffer was full
            }
        }

        @Override
        public void changed(MemberStateChange change) {
            // what it comes to is looked at
        }
    }

    private final HollowMember.Kind kind;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, String> nameAt = new ConcurrentHashMap<>();
    private final Map<String, One> all = new HashMap<>();
    private final Map<String, Seen> seen = new ConcurrentHashMap<>();
    private final List<Worker> workers = new ArrayList<>();
    private final AtomicInteger unsent = new AtomicInteger();
    final Traffic out, in;

    /** Opens a socket for each of these names; those of others are told by their addresses. */
    LoopbackFleet(HollowMember.Kind kind, Collection<String> names, Map<String, InetSocketAddress> others,
                  int threads) throws IOException {
        this.kind = kind;
        this.out = new Traffic(names.size());
        this.in = new Traffic(names.size());
        for (int i = 0; i < threads; i++) {
            workers.add(new Worker(i));
        }
        for (String name : names) {
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            all.put(name, new One(name, all.size(), workers.get(all.size() % threads), channel));
            addresses.put(name, (InetSocketAddress) channel.getLocalAddress());
        }
        addresses.putAll(others);
        addresses.forEach((name, address) -> nameAt.put(address, name));
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    InetSocketAddress address(String name) {
        return addresses.get(name);
    }

    void start(Layout layout, long seed) {
        Random random = new Random(seed);
        for (One one : all.values()) {
            Random own = new Random(random.nextLong());
            one.worker.submit(() -> {
                try {
                    one.begin(layout, own);
                } catch (IOException e) {
                    one.worker.failed = e.toString();
                }
            });
        }
        workers.forEach(Thread::start);
    }

    /** Ends it without a word, as a machine that fails. */
    void kill(String name) {
        One one = all.get(name);
        one.worker.submit(one::end);
    }

    /** What each that lives went by when it was last looked at, ten times a second. */
    Map<String, Seen> seen() {
        return seen;
    }

    int unsent() {
        return unsent.get();
    }

    /** How late the worst thread's wakes were, in microseconds, 99 in 100 of them: its own want of time. */
    long lateness() {
        return workers.stream().mapToLong(worker -> worker.late.getValueAtPercentile(99)).max().orElse(0);
    }

    /** Null, or what ended a thread. */
    String failed() {
        return workers.stream().map(worker -> worker.failed).filter(one -> one != null).findFirst()
            .orElse(null);
    }

    /** Seconds of processor time of all members together. */
    double cpuSeconds() {
        long nanos = 0;
        for (Worker worker : workers) {
            nanos += ManagementFactory.getThreadMXBean().getThreadCpuTime(worker.getId());
        }
        return nanos / 1e3 / SECOND;
    }

    @Override
    public void close() {
        for (Worker worker : workers) {
            worker.ended = true;
            worker.selector.wakeup();
        }
        for (Worker worker : workers) {
            try {
                worker.join();
                worker.selector.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                worker.failed = e.toString();
            }
        }
        for (One one : all.values()) {
            try {
                one.channel.close();
            } catch (IOException e) {
                one.worker.failed = e.toString();
            }
        }
    }
}
