package dockrelay.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockrelay.fleet.budget.Budget;
import dockrelay.fleet.group.GroupAssignment;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The grouping of peers that a configuration results in, and the error messages of invalid groupings. */
class PeerGroupsTest {
    private static final String SIX_PEERS_IN_ZONES =
        "{\"a\":[\"n0\",\"n1\",\"n2\"],\"b\":[\"n3\",\"n4\"],\"c\":[\"n5\"]}";
    @TempDir
    Path folder;
    private Path configFile;

    @BeforeEach
    void setConfigFile() {
        configFile = folder.resolve("config.json");
    }

    private static String configJson(int ownNumber, String peers, String moreKeys, String tenants) {
        return "{\"name\":\"n" + ownNumber + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
            + "\"seed\":\"1\",\"peer_listen\":\"127.0.0.1:1\",\"peers\":" + peers + "," + moreKeys
            + "\"settings\":{\"Permissions\":{\"Peers\":true},\"Tenants\":[" + tenants + "],"
            + "\"Services\":[{\"Name\":\"look\",\"Aim\":1.0,\"HardLimit\":5.0}]}}";
    }

    private static String peersJson(int count) {
        return IntStream.range(0, count).mapToObj(i -> "\"n" + i + "\":\"127.0.0.1:" + (20_000 + i) + "\"")
            .collect(Collectors.joining(",", "{", "}"));
    }

    private static String peerGroupsJson(String value) {
        return value.isEmpty() ? "" : "\"peer_groups\":" + value + ",";
    }

    private static Config config(int ownNumber, int count, String groups) {
        return Fakes.parseConfig(configJson(ownNumber, peersJson(count), peerGroupsJson(groups), ""));
    }

    @Test
    void formsOneGroupByDefaultUpToOneAndAHalfTimesItsSize() {
        int maxGroupSize = GroupAssignment.DEFAULT_GROUP_SIZE * 3 / 2;
        assertTrue(config(0, 3, "").peerGroups().assignment().isSingleGroup());
        assertTrue(config(0, maxGroupSize, "").peerGroups().assignment().isSingleGroup());
        assertEquals(2, config(0, maxGroupSize + 1, "").peerGroups().assignment().groupCount());
        assertEquals(3, config(0, 97, "{\"size\":32}").peerGroups().assignment().groupCount());
        assertNull(Fakes.parseConfig(configJson(0, "[\"127.0.0.1:7\"]", "", "")).peerGroups());
    }

    @Test
    void eachZoneFormsItsOwnGroups() {
        Config config = config(3, 6, "{\"zones\":" + SIX_PEERS_IN_ZONES + "}");
        assertEquals(3, config.peerGroups().assignment().groupCount());
        assertEquals(List.of("n3", "n4"), config.groupMemberNames());
        assertEquals("b/1", config.peerGroups().assignment().label(
            config.peerGroups().assignment().groupOf("n3")));
    }

    /** The order of the names in the file does not affect the groups. */
    @Test
    void detectsChangedZonesAndSizes() {
        PeerGroups original = config(0, 6, "{\"zones\":" + SIX_PEERS_IN_ZONES + "}").peerGroups();
        String explicitDefaultSize = "{\"size\":" + GroupAssignment.DEFAULT_GROUP_SIZE + ",\"zones\":"
            + SIX_PEERS_IN_ZONES + "}";
        assertTrue(original.hasSameGroups(config(4, 6, explicitDefaultSize).peerGroups()));
        for (String changed : List.of("", "{\"size\":40,\"zones\":" + SIX_PEERS_IN_ZONES + "}",
            "{\"zones\":{\"a\":[\"n0\",\"n1\",\"n2\",\"n3\"],\"b\":[\"n4\"],\"c\":[\"n5\"]}}")) {
            assertTrue(!original.hasSameGroups(config(0, 6, changed).peerGroups()), changed);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
        {"size":31} | G-SIZE: peer_groups.size is 31; allowed are 32 to 128
        {"size":129} | G-SIZE: peer_groups.size is 129; allowed are 32 to 128
        {"size":64.5} | G-SHAPE: peer_groups.size is 64.5; allowed is a whole number of 32 to 128
        {"size":"64"} | G-SHAPE: peer_groups.size is "64"; allowed is a whole number of 32 to 128
        7 | G-SHAPE: peer_groups is 7; \
        allowed is an object {"size": NUMBER, "zones": {ZONE: [NAME, ...], ...}}
        {"zone":{}} | G-SHAPE: peer_groups.zone is {}; allowed is only size or zones
        {"zones":{}} | G-SHAPE: peer_groups.zones is {}; allowed is an object {ZONE: [NAME, ...], ...}
        {"zones":{"a":"n0"}} | G-SHAPE: peer_groups.zones.a is "n0"; allowed is a list of names
        {"zones":{"a":["n0",1]}} | G-SHAPE: peer_groups.zones.a is [n0, 1]; allowed is a list of names
        {"zones":{" ":["n0","n1","n2"]}} | G-ZONE: peer_groups.zones is an object with the blank zone " "; \
        give each zone a name, or remove zones if there is only one
        {"zones":{"":["n0","n1","n2"]}} | G-ZONE: peer_groups.zones is an object with the blank zone ""; \
        give each zone a name, or remove zones if there is only one
        {"zones":{"a":["n0","n1","n2"],"b":[]}} | G-EMPTY: peer_groups.zones: \
        zone is "b" without a name in it; give it one or leave it out
        {"zones":{"a":["n0","n1","n2"],"b":["n1"]}} | G-TWICE: peer_groups.zones: \
        name is "n1" in zone "a" and in zone "b"; name it once
        {"zones":{"a":["n0","n1","n2","n9"]}} | G-UNKNOWN: peer_groups.zones.a is a list with the unknown \
        name "n9"; allowed are the names in peers
        {"zones":{"a":["n0","n2"]}} | G-UNPLACED: peer_groups.zones is incomplete without [n1]; \
        put each peer into exactly one zone
        """)
    void errorsNameFileKeyValueAndAllowedValues(String peerGroups, String expectedError) throws Exception {
        assertEquals(configFile + ": " + expectedError,
            readError(configJson(0, peersJson(3), peerGroupsJson(peerGroups), "")));
    }

    private String readError(String configText) throws Exception {
        Files.writeString(configFile, configText);
        return assertThrows(ConfigException.class, () -> Config.read(configFile)).getMessage();
    }

    @Test
    void errorsAbbreviateLongLists() throws Exception {
        assertEquals(configFile + ": G-TOO_MANY: peers: number of names is 16385; allowed are 1 to 16384",
            readError(configJson(0, peersJson(16_385), "", "")));
        String unplaced = readError(configJson(0, peersJson(5_700),
            peerGroupsJson("{\"zones\":{\"a\":[\"n0\"]}}"), ""));
        assertTrue(unplaced.contains("n12] and 5687 more; put each peer into exactly one zone"), unplaced);
        String missingOwnName = readError(configJson(5_700, peersJson(5_700), "", ""));
        assertTrue(missingOwnName.endsWith("n11] and 5688 more"), missingOwnName);
        String withoutNames = readError(configJson(0, "[\"127.0.0.1:7\"]", peerGroupsJson("{\"size\":64}"),
            ""));
        assertTrue(withoutNames.contains(": G-SHAPE: peer_groups is set although peers has no names"),
            withoutNames);
    }

    private static Config configWithBudgets(int ownNumber, int count, String groups, String budgets,
                                            String tenants) {
        return Fakes.parseConfig(configJson(ownNumber, peersJson(count), peerGroupsJson(groups)
            + "\"budgets\":{" + budgets + "},", tenants));
    }

    /**
     * A single group has the whole budget; several groups have parts by their number of names, within
     * the whole.
     */
    @Test
    void groupsDivideEachBudget() {
        String extraBudget = "\"extra\":{\"per_second\":20,\"burst\":40}";
        String tenants = "{\"Name\":\"t\",\"QuotaRps\":100},{\"Name\":\"small\",\"QuotaRps\":7}";
        Config singleGroup = configWithBudgets(0, 6, "", extraBudget, tenants);
        assertEquals(singleGroup.budgets(), singleGroup.groupBudgets());
        assertEquals(List.of("extra", "tenant/t", "tenant/small"),
            singleGroup.budgets().stream().map(Budget::name).toList());
        long rate = 0, burst = 0;
        for (int memberNumber : new int[] {0, 3, 5}) { // one member of each group
            List<Budget> groupBudgets = configWithBudgets(memberNumber, 6,
                "{\"zones\":" + SIX_PEERS_IN_ZONES + "}", extraBudget, tenants).groupBudgets();
            assertEquals(List.of("extra", "tenant/t"), groupBudgets.stream().map(Budget::name).toList(),
                "a tenant quota that is too small to divide is left to the balancer");
            rate += groupBudgets.get(0).rate();
            burst += groupBudgets.get(0).burst();
        }
        assertTrue(rate <= 20 * Budget.MICROTOKENS_PER_TOKEN && rate > 19.99 * Budget.MICROTOKENS_PER_TOKEN,
            "" + rate);
        assertTrue(burst <= 40 * Budget.MICROTOKENS_PER_TOKEN
            && burst > 39.99 * Budget.MICROTOKENS_PER_TOKEN, "" + burst);
    }

    /** Otherwise each group would lease the minimum burst, and the sum would exceed the budget. */
    @Test
    void rejectsBudgetTooSmallToDivide() throws Exception {
        String budgets = "\"budgets\":{\"extra\":{\"per_second\":20,\"burst\":11}},";
        assertEquals(configFile
            + ": B-BURST: budget extra: burst of 11.0 is too small for 3 groups with a total "
            + "of 6 peers, the smallest with 1; the minimum here is 12",
            readError(configJson(0, peersJson(6), peerGroupsJson("{\"zones\":" + SIX_PEERS_IN_ZONES + "}")
            + budgets, "")));
    }
}
