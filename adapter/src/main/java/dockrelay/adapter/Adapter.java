package dockrelay.adapter;

import dockrelay.Balancer;
import dockrelay.Balancer.Backend;
import dockrelay.Balancer.ListUpdateType;
import dockrelay.Balancer.LoadReport;
import dockrelay.Balancer.Outcome;
import dockrelay.Balancer.Phase;
import dockrelay.Balancer.Request;
import dockrelay.RiqBalancer;
import dockrelay.settings.Json;
import dockrelay.settings.SettingsReader;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Translates the simulator's messages to events of the policy, and the policy's actions to messages. */
final class Adapter {
    static final double MICROS_PER_SECOND = 1_000_000;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int LIST_TYPE_FULL = 0;
    private static final int LIST_TYPE_DELTA = 2;
    private static final int LIST_TYPE_FAILED = 3;
    private static final int LIST_TYPE_CACHED = 4;
    private static final int FLAG_WORK_HINT = 1;
    private static final int FLAG_RESUBMISSION = 2;

    private final InputStream in;
    private final OutputStream out;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<Long, Instance> instances = new HashMap<>();
    private final ReplyWriter reply = new ReplyWriter();
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int start;
    private int end;
    private long lineNumber;
    private JsonParser parser;
    private boolean inBatch;
    private long now;

    /** A policy of one simulated proxy; a failed one gets no more events. */
    private static final class Instance {
        Balancer balancer;
        boolean failed;
    }

    Adapter(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /** Handles lines until the input ends. Malformed input, and an end within a batch, throw. */
    void run() throws IOException {
        int length = readNextLine();
        while (length >= 0) {
            if (length > 0) {
                try {
                    handleLine(start - length - 1, length);
                } catch (JsonProcessingException e) {
                    throw new ProtocolException("line " + lineNumber + ": not JSON: "
                        + e.getOriginalMessage());
                } catch (ProtocolException | IllegalArgumentException e) {
                    throw new ProtocolException("line " + lineNumber + ": " + e.getMessage());
                }
            }
            length = readNextLine();
        }
        if (inBatch) {
            throw new ProtocolException("line " + lineNumber + ": input ended within a batch");
        }
    }

    /** Finds the next line, which ends before {@code start - 1}; returns its length, or -1 at the end. */
    private int readNextLine() throws IOException {
        int scan = start;
        while (true) {
            while (scan < end && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < end) {
                int length = scan - start;
                start = scan + 1;
                lineNumber++;
                return length;
            }
            if (start > 0) {
                System.arraycopy(buffer, start, buffer, 0, end - start);
                end -= start;
                scan -= start;
                start = 0;
            }
            if (end == buffer.length) {
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            int read = in.read(buffer, end, buffer.length - end);
            if (read < 0) {
                if (end > 0) {
                    throw new ProtocolException("line " + (lineNumber + 1) + ": input ended within a line");
                }
                return -1;
            }
            end += read;
        }
    }

    private void handleLine(int offset, int length) throws IOException {
        parser = jsonFactory.createParser(buffer, offset, length);
        if (parser.nextToken() != JsonToken.START_ARRAY) {
            throw new ProtocolException("expected an array");
        }
        String event = readText();
        if (event == null) {
            throw new ProtocolException("expected the name of an event");
        }
        if ("Turn".equals(event)) {
            if (inBatch) {
                throw new ProtocolException("Turn within a batch");
            }
            now = readMicros();
            finishLine();
            inBatch = true;
            reply.beginReply();
        } else if (!inBatch) {
            throw new ProtocolException(event + " outside a batch");
        } else if ("Eob".equals(event)) {
            finishLine();
            inBatch = false;
            reply.sendReply(out);
        } else {
            dispatch(event);
        }
        parser.close();
    }

    private void dispatch(String event) throws IOException {
        long instanceId = readLong();
        reply.setInstance(instanceId);
        switch (event) {
            case "Hello":
                createInstance(instanceId);
                return;
            case "Destroy":
                finishLine();
                findInstance(instanceId);
                instances.remove(instanceId);
                return;
            default:
                break;
        }
        Instance instance = findInstance(instanceId);
        try {
            deliverEvent(event, instance.failed ? null : instance.balancer);
        } catch (ProtocolException | IOException e) {
            throw e;
        } catch (RuntimeException e) {
            instance.failed = true;
            reply.reportFailure(String.valueOf(e));
            e.printStackTrace();
        }
    }

    private void createInstance(long instanceId) throws IOException {
        long seed = readLong();
        parser.nextToken();
        Object settings = Json.readValue(parser);
        finishLine();
        if (!(settings instanceof Map)) {
            throw new ProtocolException("expected an object with the settings");
        }
        Instance instance = new Instance();
        instance.balancer = new RiqBalancer(SettingsReader.read((Map<?, ?>) settings), seed, reply);
        instances.put(instanceId, instance);
    }

    private Instance findInstance(long instanceId) {
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw new ProtocolException("unknown instance " + instanceId);
        }
        return instance;
    }

    /** Reads an event to its end, then delivers it unless {@code balancer} is null (a failed instance). */
    private void deliverEvent(String event, Balancer balancer) throws IOException {
        switch (event) {
            case "Announce": {
                ListUpdateType type = toListUpdateType((int) readLong());
                readLong();
                List<Backend> entries = readEntries();
                finishLine();
                if (balancer != null) {
                    balancer.onBackendList(now, type, entries);
                }
                break;
            }
            case "Knock": {
                String id = requirePresent(readText());
                String serviceClass = readText();
                String tenant = readTenant();
                String key = readText();
                long timeBudget = readMicros();
                long workHint = readMicros();
                long flags = readLong();
                finishLine();
                if (balancer != null) {
                    balancer.onRequest(now, new Request(id, serviceClass, tenant, key, timeBudget,
                        (flags & FLAG_WORK_HINT) != 0 ? workHint : 0, (flags & FLAG_RESUBMISSION) != 0));
                }
                break;
            }
            case "AckFirst": {
                String id = requirePresent(readText());
                int attempt = (int) readLong();
                long backend = readLong();
                long latency = readMicros();
                finishLine();
                if (balancer != null) {
                    balancer.onStreamStart(now, id, attempt, backend, latency);
                }
                break;
            }
            case "AttemptEnd": {
                String id = requirePresent(readText());
                long latency = readMicros();
                long backend = readLong();
                boolean closed = readBoolean();
                int attempt = (int) readLong();
                Outcome outcome = toOutcome(readText());
                LoadReport report = readLoadReport();
                finishLine();
                if (balancer != null) {
                    balancer.onOutcome(now, id, attempt, backend, outcome, latency, closed, report);
                }
                break;
            }
            case "ClientLeft": {
                String id = requirePresent(readText());
                finishLine();
                if (balancer != null) {
                    balancer.onClientDisconnected(now, id);
                }
                break;
            }
            case "Reminder": {
                long token = readLong();
                finishLine();
                if (balancer != null) {
                    balancer.onTimer(now, token);
                }
                break;
            }
            case "Pong": {
                long backend = readLong();
                Outcome outcome = toOutcome(readText());
                long latency = readMicros();
                LoadReport report = readLoadReport();
                finishLine();
                if (balancer != null) {
                    balancer.onProbeResult(now, backend, outcome, latency, report);
                }
                break;
            }
            case "Datagram": {
                int from = (int) readLong();
                String message = readText();
                finishLine();
                if (balancer != null) {
                    balancer.onPeerMessage(now, from, message == null ? "" : message);
                }
                break;
            }
            default:
                throw new ProtocolException("unknown event " + event);
        }
    }

    private static ListUpdateType toListUpdateType(int code) {
        switch (code) {
            case LIST_TYPE_FULL:
                return ListUpdateType.FULL;
            case LIST_TYPE_DELTA:
                return ListUpdateType.DELTA;
            case LIST_TYPE_FAILED:
                return ListUpdateType.FAILED;
            case LIST_TYPE_CACHED:
                return ListUpdateType.CACHED;
            default:
                throw new ProtocolException("unknown type of list update " + code);
        }
    }

    private static Outcome toOutcome(String code) {
        switch (code == null ? "" : code) {
            case "Ok":
                return Outcome.OK;
            case "Failed":
                return Outcome.ERROR;
            case "QueueFull":
                return Outcome.REJECTED;
            case "TimedOut":
                return Outcome.TIMEOUT;
            case "ConnectError":
                return Outcome.CONNECT_FAILURE;
            case "ResetByPeer":
                return Outcome.RESET;
            case "Canceled":
                return Outcome.CANCELLED;
            case "Ignored":
                return Outcome.NOT_SENT;
            default:
                throw new ProtocolException("unknown outcome " + code);
        }
    }

    private List<Backend> readEntries() throws IOException {
        List<Backend> entries = new ArrayList<>();
        JsonToken token = nextToken();
        if (token == JsonToken.VALUE_NULL || token == JsonToken.END_ARRAY) {
            return entries;
        }
        if (token != JsonToken.START_ARRAY) {
            throw new ProtocolException("expected a list of entries");
        }
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            long id = readLong();
            String zone = readText();
            String kind = readText();
            long cell = readLong();
            int phaseCode = (int) readLong();
            double weight = readNumber();
            long startedAt = readMicros();
            if (phaseCode < 0 || phaseCode > 2) {
                throw new ProtocolException("unknown phase " + phaseCode);
            }
            Phase phase = phaseCode == 1 ? Phase.READY : phaseCode == 2 ? Phase.DRAINING : Phase.GONE;
            entries.add(new Backend(id, zone == null ? "" : zone, kind == null ? "" : kind, cell,
                phase, weight, startedAt));
            skipRestOfArray();
        }
        return entries;
    }

    private LoadReport readLoadReport() throws IOException {
        JsonToken token = nextToken();
        if (token != JsonToken.START_OBJECT) {
            if (token == JsonToken.START_ARRAY) {
                skipRestOfArray();
            }
            return null;
        }
        double outstanding = Double.NaN;
        double queued = Double.NaN;
        double utilization = Double.NaN;
        double latencyMs = Double.NaN;
        double throughput = Double.NaN;
        double errorsPerSecond = Double.NaN;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            if (!parser.currentToken().isNumeric()) {
                parser.skipChildren();
                continue;
            }
            double value = parser.getDoubleValue();
            switch (name) {
                case "outstanding":
                    outstanding = value;
                    break;
                case "backlog":
                    queued = value;
                    break;
                case "utilization":
                    utilization = value;
                    break;
                case "recent_ms":
                    latencyMs = value;
                    break;
                case "throughput":
                    throughput = value;
                    break;
                case "errors_per_s":
                    errorsPerSecond = value;
                    break;
                default:
                    break;
            }
        }
        return new LoadReport(outstanding, queued, utilization, latencyMs, throughput, errorsPerSecond);
    }

    private JsonToken nextToken() throws IOException {
        return parser.currentToken() == JsonToken.END_ARRAY ? JsonToken.END_ARRAY : parser.nextToken();
    }

    private String readText() throws IOException {
        JsonToken token = nextToken();
        if (token == JsonToken.VALUE_STRING) {
            return parser.getText();
        }
        if (token == JsonToken.VALUE_NULL || token == JsonToken.END_ARRAY) {
            return null;
        }
        throw new ProtocolException("expected a string, got " + token);
    }

    /** Reads a tenant's name; null for 0, which sites without tenants may send. */
    private String readTenant() throws IOException {
        JsonToken token = nextToken();
        return token == JsonToken.VALUE_STRING ? parser.getText() : null;
    }

    private static String requirePresent(String text) {
        if (text == null) {
            throw new ProtocolException("missing value");
        }
        return text;
    }

    private double readNumber() throws IOException {
        JsonToken token = nextToken();
        if (token == JsonToken.VALUE_NUMBER_INT || token == JsonToken.VALUE_NUMBER_FLOAT) {
            return parser.getDoubleValue();
        }
        if (token == JsonToken.VALUE_NULL || token == JsonToken.END_ARRAY) {
            return 0;
        }
        throw new ProtocolException("expected a number, got " + token);
    }

    private long readLong() throws IOException {
        if (nextToken() == JsonToken.VALUE_NUMBER_INT) {
            return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue() : parser.getLongValue();
        }
        throw new ProtocolException("expected a whole number, got " + parser.currentToken());
    }

    private long readMicros() throws IOException {
        return Math.round(readNumber() * MICROS_PER_SECOND);
    }

    private boolean readBoolean() throws IOException {
        JsonToken token = nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new ProtocolException("expected true or false, got " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Skips values that later protocol versions may add at the end of the current array. */
    private void skipRestOfArray() throws IOException {
        JsonToken token = parser.currentToken();
        while (token != JsonToken.END_ARRAY) {
            token = parser.nextToken();
            if (token == null) {
                throw new ProtocolException("line is truncated");
            }
            if (token == JsonToken.START_ARRAY || token == JsonToken.START_OBJECT) {
                parser.skipChildren();
                token = JsonToken.NOT_AVAILABLE;
            }
        }
    }

    /** Reads to the end of the line, so that no part of a malformed line takes effect. */
    private void finishLine() throws IOException {
        if (parser.currentToken() == JsonToken.END_ARRAY && parser.getParsingContext().inRoot()) {
            return;
        }
        JsonToken token = parser.nextToken();
        while (!(token == JsonToken.END_ARRAY && parser.getParsingContext().inRoot())) {
            if (token == null) {
                throw new ProtocolException("line is truncated");
            }
            if (token == JsonToken.START_ARRAY || token == JsonToken.START_OBJECT) {
                parser.skipChildren();
            }
            token = parser.nextToken();
        }
        if (parser.nextToken() != null) {
            throw new ProtocolException("more than one value in the line");
        }
    }
}
