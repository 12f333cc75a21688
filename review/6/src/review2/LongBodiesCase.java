package review2;

import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients read long answers while others send long bodies, more at once than memory holds. All peers are sound
 * and read and write without a pause. An answer that has begun must not be cut off or held back for 2 s.
 */
final class LongBodiesCase {
    private static final int BACKENDS = 6, DOWNLOADS = 6;
    private static final int UPLOADS = 80;
    private static final int MEMORY_MEGABYTES = 192, SOCKETS = 1024;
    private static final int DOWNLOAD_BYTES = 8 << 20, LONG_BODY_BYTES = 6 << 20, SHORT_BODY_BYTES = 2_000;
    /** Holding the rest of an answer back for so long loses the request; 50 ms more on sockets. */
    private static final double MAX_HELD_BACK_MILLIS = 2_050;
    private static final long PLAYED_MILLIS = 25_000;

    private static final AtomicInteger UPLOADED = new AtomicInteger(), WHOLE = new AtomicInteger(),
        BEGUN = new AtomicInteger(), LOST = new AtomicInteger();

    private LongBodiesCase() {
    }

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, LongBodiesCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend(rig, "s-" + i, (request, out) -> {
                Thread.sleep(5);
                if (request.method.equals("GET")) {
                    writeLongAnswer(out);
                } else {
                    request.backend.answer(request, out);
                }
                return true;
            }));
        }
        Discovery discovery = new Discovery(rig, backends);
        Rig.ProxyProcess proxy = rig.startProxy("n0", discovery.port, MEMORY_MEGABYTES, SOCKETS, discovery.wholeList(),
            Deployment.settings(2, 0, "ask", "deduplicated"));
        proxy.awaitReady(30_000);
        // One after another at first, as an idle proxy admits few requests at once.
        for (int i = 0; i < 200; i++) {
            upload(rig, proxy, SHORT_BODY_BYTES);
        }
        rig.note("the proxy has served " + UPLOADED + " short bodies");
        double end = rig.now() + PLAYED_MILLIS;
        CountDownLatch done = new CountDownLatch(DOWNLOADS);
        for (int i = 0; i < DOWNLOADS; i++) {
            Backend.startThread(() -> {
                while (rig.now() < end - 5_000) {
                    download(rig, proxy);
                    Thread.sleep(100);
                }
                done.countDown();
            });
        }
        Thread.sleep(500);
        rig.note("long answers so far: begun " + BEGUN + ", whole " + WHOLE + "; bodies of "
            + (trouble ? LONG_BODY_BYTES : SHORT_BODY_BYTES) + " bytes begin, " + UPLOADS + " at a time");
        for (int i = 0; i < UPLOADS; i++) {
            Backend.startThread(() -> {
                while (rig.now() < end) {
                    upload(rig, proxy, trouble ? LONG_BODY_BYTES : SHORT_BODY_BYTES);
                    Thread.sleep(100);
                }
            });
        }
        done.await(PLAYED_MILLIS + 30_000, TimeUnit.MILLISECONDS);
        rig.note("bodies answered with 200: " + UPLOADED + "; long answers: begun " + BEGUN + ", whole " + WHOLE
            + ", held back for 2 s or cut off " + LOST);
        rig.keepLog(proxy, "^counters|^pool|^close|^upload", 60);
        if (!proxy.isAlive() || BEGUN.get() == 0) {
            throw new IllegalStateException("the proxy did not serve");
        }
        return LOST.get() == 0;
    }

    private static void writeLongAnswer(OutputStream out) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + DOWNLOAD_BYTES + "\r\n\r\n").getBytes());
        byte[] piece = new byte[16_384];
        for (int written = 0; written < DOWNLOAD_BYTES; written += piece.length) {
            out.write(piece);
        }
        out.flush();
    }

    private static void upload(Rig rig, Rig.ProxyProcess proxy, int bytes) {
        String id = Deployment.newId();
        try (HttpClientConnection connection = new HttpClientConnection(proxy.port, 1_000)) {
            String request = Deployment.post(Deployment.UPDATE, id, "k" + id, 2, "");
            double sentAt = rig.now();
            connection.send(request.replace("Content-Length: 0", "Content-Length: " + bytes));
            Thread writer = Backend.startThread(() -> {
                OutputStream out = connection.socket.getOutputStream();
                byte[] piece = new byte[16_384];
                for (int written = 0; written < bytes; written += piece.length) {
                    out.write(piece, 0, Math.min(piece.length, bytes - written));
                }
            });
            HttpClientConnection.Answer answer = connection.read(40_000);
            UPLOADED.addAndGet(answer.status == 200 ? 1 : 0);
            rig.traceAnswer(id, answer, sentAt);
            connection.socket.close();
            writer.join();
        } catch (Exception e) {
            rig.trace("body " + id + ": " + e);
        }
    }

    private static void download(Rig rig, Rig.ProxyProcess proxy) {
        String id = Deployment.newId();
        long total = 0;
        double begun = 0, longestGap = 0, last = 0;
        String ended = null;
        try (HttpClientConnection connection = new HttpClientConnection(proxy.port, 1_000)) {
            connection.socket.setSoTimeout(30_000);
            connection.send(Deployment.lookup(id, 1));
            InputStream in = connection.socket.getInputStream();
            byte[] buffer = new byte[65_536];
            int headLength = 0;
            while (total < DOWNLOAD_BYTES + headLength) {
                int read = in.read(buffer);
                if (read < 0) {
                    ended = "closed";
                    break;
                }
                if (total == 0) {
                    String head = new String(buffer, 0, read, "ISO-8859-1");
                    if (!head.startsWith("HTTP/1.1 200")) {
                        rig.trace("long answer " + id + ": " + head.substring(0, head.indexOf('\r')));
                        return;
                    }
                    headLength = head.indexOf("\r\n\r\n") + 4;
                    begun = last = rig.now();
                    BEGUN.incrementAndGet();
                }
                total += read;
                longestGap = Math.max(longestGap, rig.now() - last);
                last = rig.now();
            }
        } catch (Exception e) {
            ended = e.toString();
        }
        if (begun == 0) {
            return;
        }
        longestGap = Math.max(longestGap, rig.now() - last);
        rig.trace("long answer " + id + ": " + total + " bytes, " + (ended == null ? "whole" : ended));
        WHOLE.addAndGet(ended == null ? 1 : 0);
        if (ended != null || longestGap > MAX_HELD_BACK_MILLIS) {
            LOST.incrementAndGet();
            rig.note(String.format(Locale.ROOT, "long answer %s, begun at %.0f: %d bytes, longest pause %.0f ms%s", id,
                begun, total, longestGap, ended == null ? "" : ", cut off: " + ended));
        }
    }
}
