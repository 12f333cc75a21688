package review;

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A backend as the protocol page describes it: persistent connections with one request at a time, 404 to a
 * request without an id, 400 to one whose id no client sent, and an answer by the handler to all others.
 */
final class Backend implements AutoCloseable {
    /** Answers a request that has arrived completely. */
    interface Handler {
        void handle(Backend backend, Message request, OutputStream out) throws Exception;
    }

    /** The receive buffer of a backend that reads slowly, and the bytes that it reads at a time. */
    private static final int SMALL_BUFFER_BYTES = 4_096, PIECE_BYTES = 2_000;

    final String id;
    /** Requests with an id that no client sent. */
    final Queue<String> foreignRequests = new ConcurrentLinkedQueue<>();
    final ServerSocket listener;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<String> sentIds;
    private final Record record;
    private final Handler handler;
    private final int bytesPerSecond; // 0: reads all at once

    Backend(String id, Set<String> sentIds, Record record, Handler handler) throws IOException {
        this(id, sentIds, record, 0, handler);
    }

    /** A backend that reads this many bytes a second, or all at once with 0. */
    Backend(String id, Set<String> sentIds, Record record, int bytesPerSecond, Handler handler) throws IOException {
        this.id = id;
        this.sentIds = sentIds;
        this.record = record;
        this.bytesPerSecond = bytesPerSecond;
        this.handler = handler;
        listener = new ServerSocket();
        if (bytesPerSecond > 0) {
            listener.setReceiveBufferSize(SMALL_BUFFER_BYTES); // what is not read yet stays with the sender
        }
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Thread accepter = new Thread(this::accept, "accept-" + id);
        accepter.setDaemon(true);
        accepter.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "serve-" + id);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = bytesPerSecond == 0 ? new BufferedInputStream(socket.getInputStream())
                : new BufferedInputStream(slowly(socket.getInputStream()), PIECE_BYTES);
            OutputStream out = socket.getOutputStream();
            for (Message request = read(in); request != null; request = read(in)) {
                String requestId = request.header("x-request-id");
                if (request.path().equals("/healthz") || request.path().equals("/load")) {
                    answer(out, 200, "");
                } else if (requestId == null) {
                    record.write(id + " got a request without an id: " + request.startLine + "; answered 404");
                    answer(out, 404, "");
                } else if (!sentIds.contains(requestId)) {
                    foreignRequests.add(id + " got " + request.startLine + " with the id " + requestId);
                    record.write(id + " got " + request.startLine + " with the id " + requestId
                        + ", which no client sent; answered 400");
                    answer(out, 400, "");
                } else {
                    handler.handle(this, request, out);
                }
            }
        } catch (Exception e) {
            record.write(id + ": a connection ended: " + e);
        } finally {
            sockets.remove(socket);
        }
    }

    /** Reads in small pieces and pauses after each full one. */
    private InputStream slowly(InputStream in) {
        return new FilterInputStream(in) {
            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int count = super.read(bytes, offset, Math.min(length, PIECE_BYTES));
                if (count == PIECE_BYTES) {
                    try {
                        Thread.sleep(PIECE_BYTES * 1_000L / bytesPerSecond);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                return count;
            }
        };
    }

    /** Reads a request and notes when its first byte came. */
    private Message read(BufferedInputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        double begunAt = record.seconds();
        in.reset();
        Message request = Message.readRequest(in);
        if (request != null) {
            request.begunAt = begunAt;
        }
        return request;
    }

    static void answer(OutputStream out, int status, String body) throws IOException {
        out.write(response(status, body));
        out.flush();
    }

    static byte[] response(int status, String body) {
        return ("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
