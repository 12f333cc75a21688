package dockrelay.fleet.budget;

import dockrelay.fleet.MemberList;
import java.util.Collection;
import java.util.Random;
import java.util.Set;

/** Faulty versions of the budget protocol, each with one bug that the random schedules have to detect. */
enum FaultyBudgetNode implements BudgetSimulation.NodeFactory {
    /** A reduced share counts as free before its holder has confirmed the reduction. */
    REDUCTION_NOT_CONFIRMED(0) {
        @Override
        LeaseLedger newLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
            return new LeaseLedger(budgets, term, timing, now) {
                @Override
                void recordGrant(BudgetAccount account, Lease lease, long rate, long burst) {
                    account.setLease(lease, rate, burst);
                }
            };
        }
    },
    /** Leases do not expire. */
    LEASE_NEVER_EXPIRES(0) {
        @Override
        long leaseEnd(long now, long sentAt, BudgetTiming timing) {
            return now + 1000 * timing.leaseDuration();
        }
    },
    /** A lease counts from the arrival of the grant instead of the sending of the request. */
    LEASE_COUNTED_FROM_ARRIVAL(8900) {
        @Override
        long leaseEnd(long now, long sentAt, BudgetTiming timing) {
            return now + timing.leaseDuration();
        }
    },
    /** The burst is not divided: each process has all of it. */
    BURST_NOT_DIVIDED(0) {
        @Override
        LeaseLedger newLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
            return new LeaseLedger(budgets, term, timing, now) {
                @Override
                long freeBurst(BudgetAccount account) {
                    return account.budget.burst();
                }

                @Override
                long burstFor(BudgetAccount account, long rate) {
                    return account.budget.burst();
                }
            };
        }
    },
    /** A new coordinator treats shares that have not been reported to it yet as free. */
    UNREPORTED_SHARES_FREE(0) {
        @Override
        LeaseLedger newLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
            return new LeaseLedger(budgets, term, timing, now - timing.maxLeaseDuration());
        }
    },
    /** A change of the voter set needs a quorum of the new set only. */
    QUORUM_OF_NEW_VOTER_SET_ONLY(700) {
        @Override
        CoordinatorElection newElection(int selfId, int instanceId, BudgetTiming timing, Voter voter,
                                        MemberList memberList, Random random,
                                        CoordinatorElection.Sender sender, long now) {
            return new CoordinatorElection(selfId, instanceId, timing, voter, memberList, random, sender,
                now) {
                @Override
                boolean hasQuorum(Set<Integer> votes, VoterSet committed, VoterSet pending,
                                  Set<Integer> excluded) {
                    return pending == null ? committed.isQuorum(votes, excluded) : pending.isQuorum(votes,
                        excluded);
                }
            };
        }
    },
    /** Any half of the voter set is a quorum, so that two disjoint quorums exist. */
    QUORUM_OF_HALF(0) {
        @Override
        CoordinatorElection newElection(int selfId, int instanceId, BudgetTiming timing, Voter voter,
                                        MemberList memberList, Random random,
                                        CoordinatorElection.Sender sender, long now) {
            return new CoordinatorElection(selfId, instanceId, timing, voter, memberList, random, sender,
                now) {
                @Override
                boolean hasQuorum(Set<Integer> votes, VoterSet committed, VoterSet pending,
                                  Set<Integer> excluded) {
                    return 2 * committed.memberIds().length <= 4 * votes.size();
                }
            };
        }
    };

    /** The first seed to try; the bug is known to show up soon after it. */
    final long firstSeed;

    FaultyBudgetNode(long firstSeed) {
        this.firstSeed = firstSeed;
    }

    Voter newVoter(int selfId, int instanceId, BudgetTiming timing, long now) {
        return new Voter(selfId, instanceId, timing, now);
    }

    CoordinatorElection newElection(int selfId, int instanceId, BudgetTiming timing, Voter voter,
                                    MemberList memberList, Random random, CoordinatorElection.Sender sender,
                                    long now) {
        return new CoordinatorElection(selfId, instanceId, timing, voter, memberList, random, sender, now);
    }

    LeaseLedger newLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
        return new LeaseLedger(budgets, term, timing, now);
    }

    long leaseEnd(long now, long sentAt, BudgetTiming timing) {
        return sentAt + timing.reliedLeaseDuration();
    }

    @Override
    public BudgetNode newNode(String selfName, Collection<String> memberNames, Collection<Budget> budgets,
                              int instanceId, Random random, BudgetNode.Callbacks callbacks, long now) {
        FaultyBudgetNode faulty = this;
        return new BudgetNode(selfName, memberNames, budgets, instanceId, BudgetTiming.DEFAULT, random,
            callbacks, now) {
            @Override
            Voter newVoter(int selfId, int instanceId, BudgetTiming timing, long now) {
                return faulty.newVoter(selfId, instanceId, timing, now);
            }

            @Override
            CoordinatorElection newElection(int selfId, int instanceId, BudgetTiming timing, Voter voter,
                                            MemberList memberList, Random random,
                                            CoordinatorElection.Sender sender, long now) {
                return faulty.newElection(selfId, instanceId, timing, voter, memberList, random, sender, now);
            }

            @Override
            LeaseLedger newLedger(Collection<Budget> budgets, long term, BudgetTiming timing, long now) {
                return faulty.newLedger(budgets, term, timing, now);
            }

            @Override
            LeaseHolder newLeaseHolder(int selfId, int instanceId, BudgetTiming timing,
                                       Collection<Budget> budgets, long now) {
                return new LeaseHolder(selfId, instanceId, timing, budgets, now) {
                    @Override
                    long leaseEnd(long now, long sentAt) {
                        return faulty.leaseEnd(now, sentAt, timing);
                    }
                };
            }
        };
    }
}
