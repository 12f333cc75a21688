package dockrelay.proxy;

import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.proxy.DrainPolicy.AnswerMode;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Is called once when an exchange ends. A buffered response is passed with the outcome OK only, and the
 * listener releases it.
 */
interface ExchangeListener {
    /**
     * A successful response that is too long to be buffered begins. When its body ends, the outcome OK
     * follows without a response.
     */
    default void onStreamStart(HttpResponse head, Body body) {
        body.discard();
    }

    /** How a successful response that is too long to be buffered is to be passed on. */
    default AnswerMode answerMode() {
        return AnswerMode.STREAMED;
    }

    /** Whether the system can keep so many bytes of a response for the client, before it is buffered. */
    default boolean reserveSendBuffer(long bytes) {
        return true;
    }

    /** A response is too long to be passed on as {@link #answerMode} demands; the outcome follows. */
    default void onUndeliverable() {
    }

    /**
     * Called once a connection is there. Runs the first action when it is known that the client is still
     * connected, and the second one if that can't be found out.
     */
    default void whenClientPresent(Runnable present, Runnable unknown) {
        present.run();
    }

    /**
     * The time that is left for a streamed request, in microseconds. It may have waited long
     * for a connection or for its client's presence.
     */
    default long remainingMicros() {
        return Long.MAX_VALUE;
    }

    /**
     * Called right before the first byte is sent, which a slow connect may have delayed; false cancels
     * it.
     */
    default boolean maySend() {
        return true;
    }

    void onEnd(Outcome outcome, LoadReport report, FullHttpResponse response);
}
