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
final class ConsoleClient {
    private static final int MAX_PARALLEL_CALLS = 32;

    /** The result of one call: the lines of the answer, or no lines and an error message. */
    record Answer(String console, List<String> lines, String error) {
        boolean isAccepted() {
            return !lines.isEmpty() && lines.get(0).startsWith("200");
        }

        /** The first line without its status code, or the error message. */
        String text() {
            return error != null ? error : lines.get(0).replaceFirst("^\\d+ ?", "");
        }
    }

    private ConsoleClient() {
    }

    /**
     * Returns the given addresses and those in the file without duplicates. The file has one HOST:PORT per
     * line; blank lines and # comments are ignored.
     *
     * @throws IllegalArgumentException if an address is malformed, the file is unreadable, or none is given
     */
    static List<String> collectAddresses(List<String> addresses, Path file) {
        List<String> collected = new ArrayList<>(addresses);
        if (file != null) {
            try {
                List<String> lines = Files.readAllLines(file);
                for (int i = 0; i < lines.size(); i++) {
                    String line = lines.get(i).replaceFirst("#.*", "").trim();
                    if (!line.isEmpty()) {
                        parseAddress(line, file + ":" + (i + 1));
                        collected.add(line);
                    }
                }
            } catch (NoSuchFileException e) {
                throw new IllegalArgumentException(file + ": no such file");
            } catch (IOException e) {
                throw new IllegalArgumentException(file + ": cannot be read: " + e.getMessage());
            }
        }
        addresses.forEach(address -> parseAddress(address, "argument"));
        if (collected.isEmpty()) {
            throw new IllegalArgumentException("no console given: HOST:PORT, or a file of them with --file");
        }
        return collected.stream().distinct().toList();
    }

    /** Parses HOST:PORT; the origin of the text is named in the error message. */
    private static InetSocketAddress parseAddress(String text, String origin) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon),
                Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(origin + ": " + text + " is not HOST:PORT");
        }
    }

    /** Calls all consoles in parallel, and returns the answers in the order of the consoles. */
    static Map<String, Answer> call(List<String> consoles, String command, int timeoutMillis)
        throws InterruptedException {
        ExecutorService executor =
            Executors.newFixedThreadPool(Math.min(MAX_PARALLEL_CALLS, consoles.size()));
        try {
            Map<String, Future<Answer>> calls = new LinkedHashMap<>();
            consoles.forEach(console ->
                calls.put(console, executor.submit(() -> call(console, command, timeoutMillis))));
            Map<String, Answer> answers = new LinkedHashMap<>();
            for (Map.Entry<String, Future<Answer>> call : calls.entrySet()) {
                try {
                    answers.put(call.getKey(), call.getValue().get());
                } catch (java.util.concurrent.ExecutionException e) {
                    answers.put(call.getKey(),
                        new Answer(call.getKey(), List.of(), e.getCause().toString()));
                }
            }
            return answers;
        } finally {
            executor.shutdownNow();
        }
    }

    private static Answer call(String console, String command, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(parseAddress(console, "argument"), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.ISO_8859_1));
            List<String> lines = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.ISO_8859_1)).lines().toList();
            return new Answer(console, lines, lines.isEmpty() ? "closed without an answer" : null);
        } catch (UncheckedIOException e) {
            return new Answer(console, List.of(), errorMessage(e.getCause(), timeoutMillis));
        } catch (IOException e) {
            return new Answer(console, List.of(), errorMessage(e, timeoutMillis));
        }
    }

    private static String errorMessage(IOException failure, int timeoutMillis) {
        return failure instanceof SocketTimeoutException ? "no answer within " + timeoutMillis + " ms"
            : "cannot be reached: " + failure.getMessage();
    }
}
