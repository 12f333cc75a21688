package dockrelay.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Decoding and encoding of the simulator's messages. */
class AdapterTest {
    private static final String SERVICE_CLASS = "{\"Name\":\"q\",\"Aim\":0.2,\"HardLimit\":0.5,"
        + "\"Idempotency\":\"idempotent\","
        + "\"DedupScope\":\"all\",\"LateWorth\":0.0,\"Worth\":2.0}";
    private static final String SETTINGS = "{\"Balancers\":2,\"Me\":0,\"Zone\":\"a\","
        + "\"Services\":[" + SERVICE_CLASS + "],"
        + "\"Permissions\":{\"MaxAttempts\":3,\"MayCancel\":true,\"SecondCopies\":true},"
        + "\"Future\":{\"Key\":[1]},"
        + "\"Obligations\":{\"ColdShare\":0.3,\"Cold\":5.0,\"FallMultiple\":3,\"Fall\":1}}";
    private static final String START_INSTANCE = "[\"Turn\",8.5]\n[\"Hello\",3,77," + SETTINGS + "]\n"
        + "[\"Announce\",3,4,41,[[51530247,\"a\",\"box\",0,1,1,null]]]\n[\"Eob\"]\n";
    private static final String REQUEST =
        "[\"Turn\",9]\n[\"Knock\",3,\"72ff28415d3a91c4\",\"q\",null,\"k:x\",0.24,0.012,1]\n[\"Eob\"]\n";

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String errorMessage(String input) {
        return assertThrows(ProtocolException.class, () -> run(input)).getMessage();
    }

    @Test
    void emptyBatchesGetEmptyReplies() throws IOException {
        assertEquals("[\"End\"]\n[\"End\"]\n", run("[\"Turn\",8.4]\n[\"Eob\"]\n[\"Turn\",8.5]\n[\"Eob\"]\n"));
        assertEquals("", run(""));
    }

    @Test
    void requestIsSentOnceAndArmsATimer() throws IOException {
        String reply = run(START_INSTANCE + REQUEST);
        String begin = "[\"End\"]\n[\"SubmitTo\",3,\"72ff28415d3a91c4\",51530247,0.2]\n[\"Sleep\",3,";
        assertTrue(reply.startsWith(begin), reply);
        assertTrue(reply.endsWith("]\n[\"End\"]\n"), reply);
    }

    @Test
    void outcomesProbesAndPeerMessagesAreAccepted() throws IOException {
        String reply = run(START_INSTANCE + REQUEST + "[\"Turn\",9.1]\n"
            + "[\"AttemptEnd\",3,\"72ff28415d3a91c4\",0.1,51530247,false,0,\"Failed\","
            + "{\"backlog\":2,\"new\":\"x\"}]\n"
            + "[\"Pong\",3,51530247,\"Ok\",0.0014,{\"outstanding\":7,\"errors_per_s\":0.5}]\n"
            + "[\"Datagram\",3,1,\"hi\"]\n[\"Reminder\",3,9223372036854775807]\n"
            + "[\"AckFirst\",3,\"72ff28415d3a91c4\",0,51530247,0.00925]\n"
            + "[\"ClientLeft\",3,\"b1af4fb90e6f2b19\"]\n[\"Eob\"]\n");
        assertTrue(reply.endsWith("[\"TurnAway\",3,\"72ff28415d3a91c4\",0.0]\n[\"End\"]\n"), reply);
    }

    @Test
    void restartWithinABatchDiscardsAllState() throws IOException {
        String restart = "[\"Turn\",9.1]\n[\"Destroy\",3]\n[\"Hello\",3,78," + SETTINGS + "]\n"
            + "[\"Announce\",3,4,41,[]]\n[\"Eob\"]\n" + REQUEST.replace("[\"Turn\",9]", "[\"Turn\",9.2]");
        assertTrue(run(START_INSTANCE + restart)
            .endsWith("[\"TurnAway\",3,\"72ff28415d3a91c4\",0.0]\n[\"End\"]\n"));
    }

    @Test
    void malformedInputIsReportedWithItsLineNumber() {
        assertTrue(errorMessage(START_INSTANCE + "[\"Turn\",9]\nnonsense\n").startsWith("line 6: not JSON"));
        assertTrue(errorMessage(START_INSTANCE + "[\"Turn\",9]\n[\"Riddle\",3]\n")
            .startsWith("line 6: unknown event"));
        assertTrue(errorMessage(START_INSTANCE + "[\"Turn\",9]\n[\"Reminder\",4,1]\n")
            .contains("6: unknown instance 4"));
        assertTrue(errorMessage(START_INSTANCE + "[\"Turn\",9]\n[\"Reminder\",3,1\n").startsWith("line 6: "));
        assertTrue(errorMessage(START_INSTANCE + "[\"Turn\",9]\n").contains("input ended within a batch"));
        assertTrue(errorMessage("[\"Reminder\",3,1]\n").startsWith("line 1: Reminder outside a batch"));
        assertTrue(errorMessage(START_INSTANCE + "[\"Turn\",9").contains("input ended within a line"));
    }

    @Test
    void malformedLineLeavesNoPartialReply() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String input = START_INSTANCE + REQUEST.replace("[\"Eob\"]", "[\"Riddle\",3]\n[\"Eob\"]");
        Adapter adapter = new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
        assertThrows(ProtocolException.class, adapter::run);
        assertEquals("[\"End\"]\n", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void missingOrInvalidSettingsAreNamed() {
        assertTrue(errorMessage(START_INSTANCE.replace("\"Aim\":0.2,", "")).contains("Services.Aim"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"Aim\":0.2", "\"Aim\":-1"))
            .contains("Services.Aim"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"HardLimit\":0.5", "\"HardLimit\":0.1"))
            .contains("class deadline"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"ColdShare\":0.3", "\"ColdShare\":7"))
            .contains("rules coldShare"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"MayCancel\":true", "\"MayCancel\":3"))
            .contains("MayCancel"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"Me\":0", "\"Me\":2")).contains("me"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"Services\"", "\"Others\"")).contains("Services"));
    }

    @Test
    void placementAndDrainRulesAreApplied() throws IOException {
        String withUnknownZone = START_INSTANCE
            .replace("\"Worth\":2.0", "\"Worth\":2.0,\"RunsIn\":[\"unknown\"]") + REQUEST;
        assertTrue(run(withUnknownZone).endsWith("[\"TurnAway\",3,\"72ff28415d3a91c4\",0.0]\n[\"End\"]\n"));
        String withKind = START_INSTANCE.replace("\"Worth\":2.0", "\"Worth\":2.0,\"KindsOpen\":[\"box\"]")
            + REQUEST;
        assertTrue(run(withKind).contains("SubmitTo"), "a backend of an allowed kind must be used");
        String withDrain = START_INSTANCE.replace("\"Fall\":1", "\"Fall\":1,\"CloseOnDrainWithin\":1.0")
            + "[\"Turn\",9]\n[\"Announce\",3,2,42,[[51530247,\"a\",\"box\",0,2,1,null]]]\n[\"Eob\"]\n";
        assertTrue(run(withDrain).endsWith("[\"HangUp\",3,51530247]\n[\"End\"]\n"));
        assertTrue(errorMessage(START_INSTANCE.replace("\"Worth\":2.0", "\"RunsIn\":\"a\""))
            .contains("Services.RunsIn"));
    }
}
