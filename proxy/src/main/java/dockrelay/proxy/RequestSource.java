package dockrelay.proxy;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Makes the message of an exchange at the moment when it is sent: an exchange that waits for a connection, or
 * has ended, holds no copy of a request's head.
 */
interface RequestSource {
    /** Makes the message, with a reference that the caller releases. */
    HttpRequest create();

    /** Called once when the exchange has ended: no message is made any more. */
    default void release() {
        // nothing is held
    }

    /** The source of a single exchange with this message, whose reference it takes over. */
    static RequestSource of(FullHttpRequest message) {
        return new RequestSource() {
            @Override
            public HttpRequest create() {
                return message.retain();
            }

            @Override
            public void release() {
                message.release();
            }
        };
    }
}
