package dockrelay.control;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Sends a command line to the consoles of many proxies in parallel and collects the answers or errors.
 */
final class Consoles {
    private static final int AT_ONCE = 32;

    /** The result of one call: the lines of the answer, or no lines and an error message. */
    record Answer(String console, List<String> lines, String trouble) {
        boolean yes() {
            return !lines.isEmpty() && lines.get(0).startsWith("200");
        }

        /** The first line without its status code, or the error message. */
        String text() {
            return trouble != null ? trouble : lines.get(0).replaceFirst("^\\d+ ?", "");
        }
    }

    private Consoles() {
    }

    /**
     * Returns the given addresses and those in the file without duplicates. The file has one HOST:PORT per
     * line; blank lines and # comments are ignored.
     *
     * @throws IllegalArgumentException if an address is malformed, the file is unreadable, or none is given
     */
    static List<String> named(List<String> given, Path file) {
        List<String> all = new ArrayList<>(given);
        if (file != null) {
            try {
                List<String> lines = Files.readAllLines(file);
                for (int i = 0; i < lines.size(); i++) {
                    String line = lines.get(i).replaceFirst("#.*", "").trim();
                    if (!line.isEmpty()) {
                        address(line, file + ":" + (i + 1));
                        all.add(line);
                    }
                }
            } catch (NoSuchFileException e) {
                throw new IllegalArgumentException(file + ": no such file");
            } catch (IOException e) {
                throw new IllegalArgumentException(file + ": cannot be read: " + e.getMessage());
            }
        }
        given.forEach(one -> address(one, "argument"));
        if (all.isEmpty()) {
            throw new IllegalArgumentException("no console given: HOST:PORT, or a file of them with --file");
        }
        return all.stream().distinct().toList();
    }

    private static InetSocketAddress address(String text, String where) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon
                + 1)));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(where + ": " + text + " is not HOST:PORT");
        }
    }

    /** Calls all consoles in parallel, and returns the answers in the order of the consoles. */
    static Map<String, Answer> call(List<String> consoles, String line,
        int millis) throws InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(Math.min(AT_ONCE, consoles.size()));
        try {
            Map<String, Future<Answer>> calls = new LinkedHashMap<>();
            consoles.forEach(one -> calls.put(one, threads.submit(() -> call(one, line, millis))));
            Map<String, Answer> result = new LinkedHashMap<>();
            for (Map.Entry<String, Future<Answer>> one : calls.entrySet()) {
                try {
                    result.put(one.getKey(), one.getValue().get());
                } catch (java.util.concurrent.ExecutionException e) {
                    result.put(one.getKey(), new Answer(one.getKey(), List.of(), e.getCause().toString()));
                }
            }
            return result;
        } finally {
            threads.shutdownNow();
        }
    }

    private static Answer call(String console, String line, int millis) {
        try (Socket socket = new Socket()) {
            socket.connect(address(console, "argument"), millis);
            socket.setSoTimeout(millis);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            List<String> lines = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.ISO_8859_1)).lines().toList();
            return new Answer(console, lines, lines.isEmpty() ? "closed without an answer" : null);
        } catch (UncheckedIOException e) {
            return new Answer(console, List.of(), trouble(e.getCause(), millis));
        } catch (IOException e) {
            return new Answer(console, List.of(), trouble(e, millis));
        }
    }

    private static String trouble(IOException e, int millis) {
        return e instanceof SocketTimeoutException ? "no answer within " + millis + " ms"
            : "cannot be reached: " + e.getMessage();
    }
}
