/*
 * Replication, commit by majority, single-step membership changes and the replacement of a lost disk, as in design.md
 * section 4.
 *
 * Identities 0, 1, 2 are the first voters; identity 3 is the new one that replaces a lost disk. The search starts with
 * node 1 as the leader of term 1. Votes are durable at once (election.pml checks their sync) and time is left out: any
 * node may campaign and vote at any moment, which allows more behaviours than leases and vote holds do. The messages of
 * one leader to one follower are merged into one step per entry; README.md says why a late message adds no behaviour.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 3 /* entries in a log */
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef BASE
#define BASE 7 /* bit mask of the first configuration */
#endif
#define N 4

typedef Node {
  byte term;
  bit voted;       /* has voted in this term */
  bit cand;
  bit lead;
  bit lost;
  byte votes;      /* bit mask of grants, while candidate */
  byte size;       /* entries in memory */
  byte synced;     /* entries on disk; those above are lost in a crash */
  byte commit;     /* entries known to be committed, while leader */
  byte log[LEN];   /* term + 16 * configuration; configuration 0 marks an ordinary entry */
  byte match[N];   /* entries that each node confirmed to this leader */
}

Node n[N];
byte elected;             /* bit mask of the terms that had a leader */
byte chosen[LEN];         /* committed entry at each index, 0 for none */
byte commit_term;         /* highest term that committed an entry */
byte losses;

#define BIT(i) (1 << (i))
#define HAS(m, i) (((m) >> (i)) & 1)
#define COUNT(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2) + HAS(m, 3))
#define TERM_OF(e) ((e) & 15)
#define CONF_OF(e) ((e) >> 4)
#define LAST_TERM(i) (n[i].size == 0 -> 0 : TERM_OF(n[i].log[n[i].size - 1]))

/* The configuration in force at a node is the last one in its log, committed or not. */
#if LEN == 2
#define CONF(i) ((n[i].size > 1 && CONF_OF(n[i].log[1])) -> CONF_OF(n[i].log[1]) : \
  ((n[i].size > 0 && CONF_OF(n[i].log[0])) -> CONF_OF(n[i].log[0]) : BASE))
#else
#define CONF(i) ((n[i].size > 2 && CONF_OF(n[i].log[2])) -> CONF_OF(n[i].log[2]) : \
  ((n[i].size > 1 && CONF_OF(n[i].log[1])) -> CONF_OF(n[i].log[1]) : \
  ((n[i].size > 0 && CONF_OF(n[i].log[0])) -> CONF_OF(n[i].log[0]) : BASE)))
#endif

/* Votes and confirmations of a node outside the configuration don't count. */
#ifdef FAULT_REMOVED_VOTER_COUNTED
#define COUNTED(m, c) (m)
#else
#define COUNTED(m, c) ((m) & (c))
#endif
#define QUORUM(m, c) (2 * COUNT(COUNTED(m, c)) > COUNT(c))

#ifdef FAULT_OLD_IDENTITY
#define ALIVE(i) (true)
#else
#define ALIVE(i) (!n[i].lost)
#endif

inline follow(i) {
  n[i].cand = 0; n[i].lead = 0; n[i].votes = 0; n[i].commit = 0;
  n[i].match[0] = 0; n[i].match[1] = 0; n[i].match[2] = 0; n[i].match[3] = 0
}

/* Shortens the log of i to k entries; entries above the length are zeroed so that equal logs are equal states. */
inline truncate(i, k) {
  n[i].size = k;
  n[i].synced = (n[i].synced > k -> k : n[i].synced);
  k0 = k;
  do
  :: k0 < LEN -> n[i].log[k0] = 0; k0++
  :: else -> break
  od;
  k0 = 0
}

inline append(i, e) {
  n[i].log[n[i].size] = e;
  n[i].size = n[i].size + 1
}

#define UP_TO_DATE(c, i) (LAST_TERM(c) > LAST_TERM(i) || (LAST_TERM(c) == LAST_TERM(i) && n[c].size >= n[i].size))
#define CAN_GRANT(i, c) (ALIVE(i) && n[c].cand && UP_TO_DATE(c, i) && \
  (n[i].term < n[c].term || (n[i].term == n[c].term && !n[i].voted)))

#define GRANT(i, c) \
  :: d_step { i != c && CAN_GRANT(i, c) -> \
       follow(i); n[i].term = n[c].term; n[i].voted = 1; n[c].votes = n[c].votes | BIT(i); }

/*
 * A follower confirms the entries that it has synced. By default it syncs an entry in the step that appends it; with
 * SPLIT_SYNC the sync is a separate step, so that a kill may come in between. A leader's own sync is always a separate
 * step.
 */
#ifdef FAULT_ACK_WITHOUT_SYNC
#define CONFIRMABLE(i) n[i].size
#define SPLIT_SYNC
#else
#define CONFIRMABLE(i) n[i].synced
#endif
#define CONFIRMED(i, l) (CONFIRMABLE(i) < PREFIX(i, l) -> CONFIRMABLE(i) : PREFIX(i, l))
#define CONFIRM(i, l) \
  if \
  :: n[l].lead && n[i].term == n[l].term && CONFIRMED(i, l) > n[l].match[i] -> n[l].match[i] = CONFIRMED(i, l) \
  :: else -> skip \
  fi

/* Length of the common prefix of the logs of i and l. */
#define SAME_ENTRY(i, l, k) (n[i].size > k && n[l].size > k && n[i].log[k] == n[l].log[k])
#if LEN == 2
#define PREFIX(i, l) (!SAME_ENTRY(i, l, 0) -> 0 : (!SAME_ENTRY(i, l, 1) -> 1 : 2))
#else
#define PREFIX(i, l) (!SAME_ENTRY(i, l, 0) -> 0 : (!SAME_ENTRY(i, l, 1) -> 1 : (!SAME_ENTRY(i, l, 2) -> 2 : 3)))
#endif

#ifdef SPLIT_SYNC
#define SYNC_AT_ONCE(i) skip
#else
#define SYNC_AT_ONCE(i) n[i].synced = n[i].size
#endif

/* Follower i appends the next entry of leader l, after it has truncated a conflicting tail. */
#define ACCEPT(i, l) \
  :: d_step { i != l && ALIVE(i) && n[l].lead && n[i].term <= n[l].term && PREFIX(i, l) < n[l].size -> \
       if \
       :: n[i].term < n[l].term -> n[i].term = n[l].term; n[i].voted = 0 \
       :: else -> skip \
       fi; \
       follow(i); \
       k1 = PREFIX(i, l); \
       truncate(i, k1); \
       append(i, n[l].log[k1]); \
       SYNC_AT_ONCE(i); \
       CONFIRM(i, l); \
       k1 = 0; }

/* A leader or candidate that sees a higher term becomes a follower in that term. */
#define STEP_DOWN(i, j) \
  :: d_step { i != j && ALIVE(i) && (n[i].lead || n[i].cand) && n[i].term < n[j].term -> \
       follow(i); n[i].term = n[j].term; n[i].voted = 0; }

#define MATCHED(l, k) ( \
  (n[l].match[0] >= k -> 1 : 0) + (n[l].match[1] >= k -> 2 : 0) + \
  (n[l].match[2] >= k -> 4 : 0) + (n[l].match[3] >= k -> 8 : 0))

#ifdef FAULT_OLD_TERM_COUNTED
#define OWN_TERM(l, k) (true)
#else
#define OWN_TERM(l, k) (TERM_OF(n[l].log[k - 1]) == n[l].term)
#endif

/* Leader l commits its first k entries once a majority of its configuration has synced them. */
#define COMMIT(l, k) \
  :: d_step { n[l].lead && n[l].commit < k && n[l].size >= k && OWN_TERM(l, k) && QUORUM(MATCHED(l, k), CONF(l)) -> \
       n[l].commit = k; \
       k0 = 0; \
       do \
       :: k0 < k -> \
            assert(chosen[k0] == 0 || chosen[k0] == n[l].log[k0]); \
            if \
            :: chosen[k0] == 0 -> chosen[k0] = n[l].log[k0] \
            :: else -> skip \
            fi; \
            k0++ \
       :: else -> break \
       od; \
       k0 = 0; \
       commit_term = (commit_term < n[l].term -> n[l].term : commit_term); }

/* A membership change needs a committed entry of the leader's own term, and no uncommitted change before it. */
#ifdef FAULT_CHANGE_BEFORE_OWN_TERM
#define SETTLED(l) (true)
#else
#define SETTLED(l) (n[l].commit > 0 && TERM_OF(n[l].log[n[l].commit - 1]) == n[l].term)
#endif
#ifdef FAULT_SECOND_CHANGE_BEFORE_COMMIT
#define PENDING(l) (false)
#else
#define PENDING_AT(l, k) (n[l].size > k && n[l].commit <= k && CONF_OF(n[l].log[k]))
#if LEN == 2
#define PENDING(l) (PENDING_AT(l, 0) || PENDING_AT(l, 1))
#else
#define PENDING(l) (PENDING_AT(l, 0) || PENDING_AT(l, 1) || PENDING_AT(l, 2))
#endif
#endif
#define CAN_CHANGE(l) (n[l].lead && n[l].size < LEN && SETTLED(l) && !PENDING(l))

/* Promotion: the learner counts as a voter from this entry on. */
#define PROMOTE(l, x) \
  :: d_step { CAN_CHANGE(l) && !HAS(CONF(l), x) -> k1 = CONF(l) | BIT(x); append(l, n[l].term + 16 * k1); k1 = 0; }
#define REMOVE(l, x) \
  :: d_step { CAN_CHANGE(l) && HAS(CONF(l), x) && COUNT(CONF(l)) > 2 -> \
       k1 = CONF(l) & (15 - BIT(x)); append(l, n[l].term + 16 * k1); k1 = 0; }

byte k0, k1; /* scratch, zero between steps */

proctype node(byte me) {
end:
  do
  :: d_step { ALIVE(me) && !n[me].lead && HAS(CONF(me), me) && n[me].term < TERMS ->
       follow(me);
       n[me].term = n[me].term + 1; n[me].voted = 1; n[me].cand = 1; n[me].votes = BIT(me); }
  GRANT(me, 0)
  GRANT(me, 1)
  GRANT(me, 2)
  GRANT(me, 3)
  /* Elected: the leader's log holds every entry that an earlier term committed; it appends an entry of its own. */
  :: d_step { n[me].cand && QUORUM(n[me].votes, CONF(me)) ->
       assert(!HAS(elected, n[me].term));
       elected = elected | BIT(n[me].term);
       k0 = 0;
       do
       :: k0 < LEN ->
            assert(chosen[k0] == 0 || commit_term >= n[me].term || n[me].log[k0] == chosen[k0]);
            k0++
       :: else -> break
       od;
       k0 = 0;
       n[me].cand = 0; n[me].votes = 0; n[me].lead = 1;
       n[me].match[me] = CONFIRMABLE(me);
       if
#ifndef FAULT_CHANGE_BEFORE_OWN_TERM
       :: n[me].size < LEN -> append(me, n[me].term)
#endif
       :: else -> skip
       fi; }
  ACCEPT(me, 0)
  ACCEPT(me, 1)
  ACCEPT(me, 2)
  ACCEPT(me, 3)
  :: d_step { n[me].synced < n[me].size ->
       n[me].synced = n[me].size;
       CONFIRM(me, 0);
       CONFIRM(me, 1);
       CONFIRM(me, 2);
       CONFIRM(me, 3); }
  COMMIT(me, 1)
  COMMIT(me, 2)
#if LEN > 2
  COMMIT(me, 3)
#endif
  PROMOTE(me, 3)
  REMOVE(me, 0)
  REMOVE(me, 1)
  REMOVE(me, 2)
  STEP_DOWN(me, 0)
  STEP_DOWN(me, 1)
  STEP_DOWN(me, 2)
  STEP_DOWN(me, 3)
  /* Kill and restart: unsynced entries are lost. */
  :: d_step { !n[me].lost && (n[me].synced < n[me].size || n[me].lead || n[me].cand) ->
       follow(me);
       k1 = n[me].synced; truncate(me, k1); k1 = 0; }
  /*
   * The disk is lost. The identity ends; the fault restarts it with an empty folder. Nodes 0 and 2 are symmetric at the
   * start, so that the loss of node 2 is covered by the loss of node 0.
   */
  :: d_step { me < 2 && !n[me].lost && losses < LOSSES ->
       losses++;
       follow(me);
       n[me].lost = 1; n[me].term = 0; n[me].voted = 0;
       truncate(me, 0); }
  od
}

#ifdef REACH
/* Shows that the search is not vacuous: node 3 replaces node 0, whose disk was lost, across a change of leader. */
active proctype reach() {
end:
  d_step { n[0].lost && commit_term == 2 && CONF_OF(chosen[2]) == 14 && n[3].synced == 3 -> assert(false) }
}
#endif

init {
  atomic {
    n[0].term = 1; n[1].term = 1; n[2].term = 1;
    n[0].voted = 1; n[1].voted = 1; n[2].voted = 1;
    n[1].lead = 1; elected = BIT(1);
#ifndef FAULT_CHANGE_BEFORE_OWN_TERM
    n[1].size = 1; n[1].log[0] = 1;
#endif
    run node(0); run node(1); run node(2); run node(3)
  }
}
