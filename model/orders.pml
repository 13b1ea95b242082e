/*
 * Orders to one engine, as in design.md section 7, from a controller (1) that may lose its lease at any step and from its
 * successor (2).
 *
 * KIND selects the engine: 1 checks the fencing token, 2 ignores it and accepts orders by prepare and nonce, 3 ignores it
 * and accepts orders with a condition on its revision, 4 accepts any order (plain). Frames are delivered in any order,
 * arbitrarily late, or never (a lost frame is one that stays in flight); an answer may be lost or arrive too late. The
 * engine may crash between the two halves of a change. election.pml checks that one lease ends before the next begins.
 */
#ifndef KIND
#define KIND 1
#endif
#ifndef SENDS
#define SENDS 4 /* frames that each controller may send */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#define CHECKED (KIND == 1)
#define TWOSTEP (KIND == 2)
#define CONDITIONAL (KIND == 3)

#define UNUSED 0
#define IN_FLIGHT 1
#define DONE 2
#define REFUSED 3

typedef Frame {
  byte state;
  bit order;    /* an order; otherwise the fencing call before it: a prepare, or a touch, which only raises the fence or
                   the revision */
  byte expect;  /* expected revision (kind 3) or nonce (kind 2); after a prepare, the nonce that it returned */
  byte inc;     /* expected incarnation */
  byte desired; /* desired state */
}

Frame f[2 * SENDS];  /* frames of controller 1, then those of controller 2 */

byte lease_holder = 1; /* 1, then none (0), then 2 */

/* The engine. */
byte inc, rev, nonce;
byte nonces;         /* number of nonces issued */
byte fence, seq;     /* highest fencing token and sequence accepted, kind 1 */
byte lastc, lasts;   /* last order that it reports: controller and sequence */
bit busy;            /* an order is being carried out */
byte role, model;    /* the two halves of its state */
byte crashes;

byte awaits[3];      /* frame whose answer each controller awaits, plus one; 0 for none */
bit taken_over;      /* the successor has fenced off earlier orders and read the engine back */

#define OWNER(k) ((k) < SENDS -> 1 : 2)
#define SEQ(k) ((k) < SENDS -> (k) + 1 : (k) - SENDS + 1)

#if defined(FAULT_FENCE_FORGOTTEN)
#define INC_MATCHES(k) (true)
#else
#define INC_MATCHES(k) (f[k].inc == inc)
#endif

/* The state that the engine records for an accepted frame, by its kind. */
#if KIND == 1
#define RECORD(k) fence = OWNER(k); seq = SEQ(k)
#elif KIND == 3
#define RECORD(k) rev++
#else
#define RECORD(k) skip
#endif

/* Whether the engine accepts frame k, by its kind. */
#define NEWER(k) (OWNER(k) > fence || (OWNER(k) == fence && SEQ(k) > seq))
#if KIND == 1
#define ACCEPTS(k) (NEWER(k) && INC_MATCHES(k))
#elif KIND == 2
#ifdef FAULT_NO_PREPARE
#define ACCEPTS(k) (true)
#else
#define ACCEPTS(k) (!f[k].order || (f[k].expect == nonce && nonce > 0))
#endif
#elif KIND == 3
#ifdef FAULT_NO_CONDITION
#define ACCEPTS(k) (true)
#else
#define ACCEPTS(k) (f[k].expect == rev && INC_MATCHES(k))
#endif
#else
#define ACCEPTS(k) (true)
#endif

#define AWAITED(k) (awaits[OWNER(k)] == (k) + 1)

/* A delivered frame is cleared, so that states do not differ by its former content only. */
#define CLEAR(k) f[k].order = 0; f[k].inc = 0; f[k].desired = 0; f[k].expect = 0

#define DELIVER(k) \
  :: d_step { f[k].state == IN_FLIGHT && ACCEPTS(k) -> \
       f[k].state = (AWAITED(k) -> DONE : UNUSED); \
       RECORD(k); \
       if \
       :: f[k].order -> \
            assert(!busy);                        /* never two orders at a time */ \
            assert(OWNER(k) == 2 || !taken_over); /* no order of the deposed controller after the takeover */ \
            busy = 1; role = f[k].desired; nonce = 0; \
            lastc = OWNER(k); lasts = SEQ(k); \
            CLEAR(k) \
       :: !f[k].order && TWOSTEP -> \
            nonces++; nonce = nonces; CLEAR(k); \
            f[k].expect = (AWAITED(k) -> nonces : 0) \
       :: else -> CLEAR(k) \
       fi; } \
  :: d_step { f[k].state == IN_FLIGHT && !ACCEPTS(k) -> f[k].state = (AWAITED(k) -> REFUSED : UNUSED); CLEAR(k); }

active proctype engine() {
end:
  do
  DELIVER(0)
  DELIVER(1)
  DELIVER(2)
  DELIVER(3)
  DELIVER(4)
  DELIVER(5)
  DELIVER(6)
  DELIVER(7)
#if SENDS > 4
  DELIVER(8)
  DELIVER(9)
#endif
#if SENDS > 5
  DELIVER(10)
  DELIVER(11)
#endif
  :: d_step { busy -> busy = 0; model = role; }
  /* A crash during a change leaves half of it applied. The fence is in memory and lost; INC_MATCHES rejects frames for
   * the former incarnation. */
  :: d_step { crashes < CRASHES ->
       crashes++; inc++; busy = 0; nonce = 0; lastc = 0; lasts = 0;
       fence = 0; seq = 0; }
  od
}

active proctype lease() {
end:
  d_step { lease_holder == 1 -> lease_holder = 0; }
  d_step { lease_holder == 0 -> lease_holder = 2; }
}

#ifdef FAULT_NO_LEASE_CHECK
#define HAS_LEASE(c) (true)
#else
#define HAS_LEASE(c) (lease_holder == c)
#endif

/* A controller can commit orders until the successor's term has an entry. */
#define CAN_COMMIT(c) (c == 2 || lease_holder != 2)

#define NEXT(c, i) ((c - 1) * SENDS + i)

inline send(o) {
  f[NEXT(me, i)].state = IN_FLIGHT;
  f[NEXT(me, i)].order = o;
  f[NEXT(me, i)].expect = expect;
  f[NEXT(me, i)].inc = next_inc;
  f[NEXT(me, i)].desired = (o -> desired : 0);
  i++;
  awaits[me] = NEXT(me, i)
}

#define ANSWER f[NEXT(me, i - 1)]

/* Stops waiting for the answer of the last frame. */
inline stop_waiting() {
  awaits[me] = 0;
  if
  :: ANSWER.state != IN_FLIGHT -> ANSWER.state = UNUSED; ANSWER.expect = 0
  :: else -> skip
  fi
}

proctype controller(byte me) {
  byte i;          /* frames sent */
  byte desired;    /* desired state of the present decision */
  byte expect;     /* revision or nonce for the next frame */
  byte next_inc;   /* incarnation for the next frame */
  byte open_order; /* sequence of the last order, while its outcome is unknown; 0 for none */

  d_step { lease_holder == me -> desired = me; }

plan: /* The order is recorded before anything is sent. */
  if
  :: d_step { HAS_LEASE(me) && CAN_COMMIT(me) && i + 1 < SENDS -> next_inc = inc; expect = rev; }
  :: else -> goto stop
  fi;

fence_off: /* Voids all orders in flight: raises the fence, requests a new nonce, or raises the revision. */
#ifndef FAULT_NO_FENCE_OFF
  d_step { send(0) }
  if
  :: d_step { ANSWER.state == DONE -> expect = (TWOSTEP -> ANSWER.expect : 0); stop_waiting() }
  :: d_step { ANSWER.state != DONE -> stop_waiting() } goto plan /* refused, or no answer in time: repeat */
  fi;
#endif

readback: /* After fencing off; waits until the engine is idle. */
  if
  :: d_step { HAS_LEASE(me) && !busy && next_inc == inc ->
       expect = (CONDITIONAL -> rev : expect);
       taken_over = (me == 2 -> 1 : taken_over); }
  :: HAS_LEASE(me) && next_inc != inc -> goto plan
  :: !HAS_LEASE(me) -> goto stop
  fi;
  if
  :: d_step { HAS_LEASE(me) && open_order > 0 && lastc == me && lasts == open_order -> open_order = 0; desired = me + 2; } goto plan
  :: d_step { HAS_LEASE(me) && !(open_order > 0 && lastc == me && lasts == open_order) -> open_order = 0; }
  :: !HAS_LEASE(me) -> goto stop
  fi;

order:
  if
  :: d_step { HAS_LEASE(me) -> send(1); open_order = i; }
  :: else -> goto stop
  fi;
  if
  :: d_step { ANSWER.state == DONE -> open_order = 0; desired = me + 2; stop_waiting() }
  :: d_step { ANSWER.state == REFUSED -> open_order = 0; stop_waiting() }
  :: d_step { true -> stop_waiting() } /* unknown */
#ifdef FAULT_ORDER_WITHOUT_READBACK
       /* Continues with the next decision at once, as if the order had not arrived. */
       desired = me + 2; open_order = 0;
       if
       :: HAS_LEASE(me) && i < SENDS -> expect = (CONDITIONAL -> rev : expect); goto order
       :: else -> goto stop
       fi
#else
       skip
#endif
  fi;
  goto plan;

stop:
  skip
}

init {
  atomic { run controller(1); run controller(2) }
}

#ifdef REACH
/* Shows that the search is not vacuous: both controllers changed the engine, which crashed in the first change. */
active proctype reach() {
end:
  d_step { lastc == 2 && model == 4 && crashes == CRASHES && f[1].state == IN_FLIGHT -> assert(false) }
}
#endif
