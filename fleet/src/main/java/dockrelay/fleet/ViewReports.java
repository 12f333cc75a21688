package dockrelay.fleet;

import dockrelay.fleet.Datagram.ViewReport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The latest view report of each member with its maximum age. The age of a relayed report grows by the time
 * that it was held here and by the round trip that brought it.
 */
final class ViewReports {
    /** Two flag bits per member: whether it is absent, and whether that has not changed for a while. */
    static final int ABSENT = 2, STABLE = 1;
    private static final int ABSENT_MASK = 0xaa;

    /** A report with the time of its receipt. */
    private static final class StoredReport {
        final ViewReport report;
        final long receivedAt;

        StoredReport(ViewReport report, long receivedAt) {
            this.report = report;
            this.receivedAt = receivedAt;
        }

        long age(long now) {
            return report.age() + now - receivedAt;
        }
    }

    private final MemberList memberList;
    private final StoredReport[] reports;
    private final long expiry;

    ViewReports(MemberList memberList, long expiry) {
        this.memberList = memberList;
        this.reports = new StoredReport[memberList.size()];
        this.expiry = expiry;
    }

    /** Stores a report that is newer than the stored one of the same member, or equal with a lower age. */
    void store(long now, ViewReport report) {
        int reporter = memberList.indexOf(report.reporterId());
        if (reporter < 0 || report.age() > expiry) {
            return;
        }
        StoredReport storedReport = reports[reporter];
        long versionDifference = storedReport == null ? 1
            : report.incarnation() != storedReport.report.incarnation()
            ? report.incarnation() - storedReport.report.incarnation()
            : report.heartbeat() - storedReport.report.heartbeat();
        if (versionDifference > 0 || versionDifference == 0 && report.age() < storedReport.age(now)) {
            reports[reporter] = new StoredReport(report, now);
        }
    }

    /** Returns the reports that are not stale, newest first, as not all may fit into a datagram. */
    List<ViewReport> reportsToSend(long now) {
        List<ViewReport> result = new ArrayList<>(reports.length);
        for (StoredReport storedReport : reports) {
            if (storedReport != null && storedReport.age(now) <= expiry) {
                ViewReport report = storedReport.report;
                result.add(new ViewReport(report.reporterId(), report.incarnation(), report.heartbeat(),
                    storedReport.age(now), report.listHash(), report.memberFlags()));
            }
        }
        result.sort(Comparator.comparingLong(ViewReport::age));
        return result;
    }

    /**
     * Returns the maximum age of a member's report in microseconds, or -1 if there is none or it is stale.
     */
    long ageOf(long now, int member) {
        return reports[member] == null || reports[member].age(now) > expiry ? -1 : reports[member].age(now);
    }

    /** Whether a member has the same list of names; true if that is not known. */
    boolean hasSameList(long now, int member) {
        return ageOf(now, member) < 0 || reports[member].report.listHash() == memberList.hash();
    }

    /** Returns the flags that one member reports of another, or -1 if they are not known. */
    int flags(long now, int reporter, int member) {
        if (ageOf(now, reporter) < 0 || reports[reporter].report.listHash() != memberList.hash()
            || reports[reporter].report.memberFlags().length != flagBytes(memberList.size())) {
            return -1;
        }
        return flags(reports[reporter].report.memberFlags(), member);
    }

    /** Whether a member's report has other members absent than these flags have; false without a report. */
    boolean absencesDiffer(long now, int reporter, byte[] memberFlags) {
        if (ageOf(now, reporter) < 0 || reports[reporter].report.memberFlags().length != memberFlags.length) {
            return false;
        }
        byte[] reportedFlags = reports[reporter].report.memberFlags();
        for (int i = 0; i < memberFlags.length; i++) {
            if (((reportedFlags[i] ^ memberFlags[i]) & ABSENT_MASK) != 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of bytes that hold the flags of this many members. */
    static int flagBytes(int memberCount) {
        return (memberCount + 3) / 4;
    }

    static int flags(byte[] memberFlags, int member) {
        return memberFlags[member / 4] >> member % 4 * 2 & 3;
    }

    static void setFlags(byte[] memberFlags, int member, int flags) {
        memberFlags[member / 4] |= (byte) (flags << member % 4 * 2);
    }
}
