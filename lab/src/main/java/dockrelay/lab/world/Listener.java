package dockrelay.lab.world;

import dockrelay.lab.link.BlackHole;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** One address of the world's that takes connections, refuses them, or swallows them. Its loop owns it. */
final class Listener {
    /**
     * What happens to whoever connects: taken, refused as by a dead process, or no answer as by a lost
     * machine.
     */
    enum State { TAKING, REFUSING, DARK }

    /** The system gives an address back a moment after its listener is closed. */
    private static final long AGAIN = 10_000;
    private static final int MOST_TRIES = 200;

    private final EmulatorNetwork net;
    private final EventLoop loop;
    private final Supplier<ChannelHandler[]> handlers;
    private final InetSocketAddress address;
    private State wanted = State.TAKING;
    private Channel channel;
    private BlackHole hole;
    private int tries;
    private boolean busy;

    /** Takes the address, and with it a port. Not to be called on the loop. */
    Listener(EmulatorNetwork net, EventLoop loop, InetSocketAddress at, Supplier<ChannelHandler[]> handlers) {
        this.net = net;
        this.loop = loop;
        this.handlers = handlers;
        channel = net.listen(loop, at, handlers).syncUninterruptibly().channel();
        address = (InetSocketAddress) channel.localAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    void state(State state) {
        wanted = state;
        settle();
    }

    private void settle() {
        if (busy) {
            return;
        }
        if (channel != null && wanted != State.TAKING) {
            channel.close();
            channel = null;
            later();
        } else if (hole != null && wanted != State.DARK) {
            try {
                hole.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            hole = null;
            later();
        } else if (wanted == State.DARK && hole == null) {
            try {
                hole = new BlackHole(address);
                tries = 0;
            } catch (IOException e) {
                failed(e);
            }
        } else if (wanted == State.TAKING && channel == null) {
            busy = true;
            net.listen(loop, address, handlers).addListener((io.netty.channel.ChannelFutureListener) done -> {
                busy = false;
                if (done.isSuccess()) {
                    channel = done.channel();
                    tries = 0;
                    settle(); // it may be wanted otherwise by now
                } else {
                    failed(done.cause());
                }
            });
        }
    }

    private void failed(Throwable cause) {
        if (tries++ >= MOST_TRIES) {
            throw new IllegalStateException("cannot listen at " + address + " again", cause);
        }
        later();
    }

    private void later() {
        busy = true;
        net.schedule(loop, AGAIN, () -> {
            busy = false;
            settle();
        });
    }
}
