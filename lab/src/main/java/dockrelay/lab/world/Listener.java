package dockrelay.lab.world;

import dockrelay.lab.link.BlackHoleListener;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A listening address of the emulator that accepts connections, refuses them, or lets them time out. Its
 * event loop owns it.
 */
final class Listener {
    /**
     * Connections are accepted, refused as if the process were dead, or time out as if the host were lost.
     */
    enum State { ACCEPTING, REFUSING, SILENT }

    /**
     * Delay before the address is bound again: the kernel releases it shortly after its listener is closed.
     */
    private static final long REBIND_DELAY_MICROS = 10_000;
    private static final int MAX_REBIND_ATTEMPTS = 200;

    private final EmulatorNetwork network;
    private final EventLoop loop;
    private final Supplier<ChannelHandler[]> handlers;
    private final InetSocketAddress address;
    private State targetState = State.ACCEPTING;
    private Channel channel;
    private BlackHoleListener blackHole;
    private int failedAttempts;
    private boolean transitioning;

    /** Binds the address, which also fixes the port. Must not be called on the event loop. */
    Listener(EmulatorNetwork network, EventLoop loop, InetSocketAddress bindAddress,
        Supplier<ChannelHandler[]> handlers) {
        this.network = network;
        this.loop = loop;
        this.handlers = handlers;
        channel = network.listen(loop, bindAddress, handlers).syncUninterruptibly().channel();
        address = (InetSocketAddress) channel.localAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    void setState(State state) {
        targetState = state;
        applyTargetState();
    }

    private void applyTargetState() {
        if (transitioning) {
            return;
        }
        if (channel != null && targetState != State.ACCEPTING) {
            channel.close();
            channel = null;
            applyLater();
        } else if (blackHole != null && targetState != State.SILENT) {
            try {
                blackHole.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            blackHole = null;
            applyLater();
        } else if (targetState == State.SILENT && blackHole == null) {
            try {
                blackHole = new BlackHoleListener(address);
                failedAttempts = 0;
            } catch (IOException e) {
                onBindFailure(e);
            }
        } else if (targetState == State.ACCEPTING && channel == null) {
            transitioning = true;
            network.listen(loop, address, handlers)
                .addListener((io.netty.channel.ChannelFutureListener) bindFuture -> {
                transitioning = false;
                if (bindFuture.isSuccess()) {
                    channel = bindFuture.channel();
                    failedAttempts = 0;
                    applyTargetState(); // the desired state may have changed while binding
                } else {
                    onBindFailure(bindFuture.cause());
                }
            });
        }
    }

    private void onBindFailure(Throwable cause) {
        if (failedAttempts++ >= MAX_REBIND_ATTEMPTS) {
            throw new IllegalStateException("listener at " + address + " cannot be bound again", cause);
        }
        applyLater();
    }

    private void applyLater() {
        transitioning = true;
        network.schedule(loop, REBIND_DELAY_MICROS, () -> {
            transitioning = false;
            applyTargetState();
        });
    }
}
