/* State of reads and writes from evidence.  */
#include <string.h>

#include "skr/access.h"

enum
{
  MAX_STEP_MS = 200, /* longest gap between two ticks that is counted */
  /* Stated bound: no answer for so long, and no write of any VM seen.  Four
     times the 200 ms of a store that is slow by a factor of 50.  */
  WRITES_STALLED_MS = 800,
  READS_STALLED_MS = 1500, /* as for the store as a whole; see store.c */
  /* A write without an answer is confirmed by a probe before writes count as
     stalled, because a single write may be lost by its connection.  */
  PROBE_AFTER_MS = 300,
  PROBE_CONFIRMS_MS = 300, /* after this long without an answer */
  PROBE_GAP_MS = 400,
  /* The holder renews its lease every 400 ms and a follower sees that 250 ms
     later; a longer silence is probed.  */
  QUIET_MS = 1000,
  REFUSED_MS = 300, /* writes count as refused after so long and so many */
  REFUSED_CALLS = 3
};

/* Returns the active clock at NOW.  */
static int64_t
active_ms (const struct ac_access *a, int64_t now)
{
  int64_t step_ms = now - a->ticked_ms;

  if (step_ms < 0)
    step_ms = 0;
  return a->active_ms + (step_ms < MAX_STEP_MS ? step_ms : MAX_STEP_MS);
}

static int64_t
later (int64_t x, int64_t y)
{
  return x > y ? x : y;
}

static void
set_state (struct ac_path *p, enum ac_state state, enum ac_evidence evidence,
           int64_t since_ms)
{
  if (p->state == state)
    return;
  p->state = state;
  p->evidence = evidence;
  p->since_ms = since_ms;
}

void
ac_init (struct ac_access *a, int64_t now)
{
  memset (a, 0, sizeof *a);
  a->ticked_ms = now;
  a->active_ms = a->seen_ms = 1;
  for (int i = 0; i < AC_PATHS; i++)
    a->path[i].since_ms = now;
}

void
ac_sent (struct ac_access *a, enum ac_path_name path, int64_t now)
{
  struct ac_path *p = &a->path[path];

  if (!p->unanswered_ms)
    p->unanswered_ms = active_ms (a, now);
}

static void
note_answer (struct ac_access *a, enum ac_path_name path, int64_t now)
{
  struct ac_path *p = &a->path[path];

  p->unanswered_ms = p->refused_ms = p->refusals = 0;
  set_state (p, AC_AVAILABLE, AC_OWN_ANSWER, now);
  if (path == AC_WRITES)
    {
      a->probe_ms = a->own_probe_ms = 0;
      a->seen_ms = active_ms (a, now);
    }
}

/* The store answers, but does nothing.  */
static void
note_refusal (struct ac_access *a, enum ac_path_name path, int64_t now)
{
  struct ac_path *p = &a->path[path];

  p->unanswered_ms = 0;
  if (path == AC_WRITES)
    a->probe_ms = a->own_probe_ms = 0;
  if (!p->refusals++)
    p->refused_ms = active_ms (a, now);
}

void
ac_replied (struct ac_access *a, enum ac_path_name path, enum ac_reply reply,
            int64_t now)
{
  switch (reply)
    {
    case AC_ANSWERED:
      note_answer (a, path, now);
      break;
    case AC_NOT_DONE:
      note_refusal (a, path, now);
      break;
    case AC_LOST:
      break;
    }
}

void
ac_write_seen (struct ac_access *a, int64_t now)
{
  a->seen_ms = active_ms (a, now);
  a->probe_ms = 0;
  if (a->path[AC_WRITES].state == AC_STALLED)
    set_state (&a->path[AC_WRITES], AC_AVAILABLE, AC_OTHER_WRITE, now);
}

int
ac_probe_is_due (const struct ac_access *a, int64_t now)
{
  int64_t active = active_ms (a, now);
  int64_t unanswered_ms = a->path[AC_WRITES].unanswered_ms;

  if (active < a->next_probe_ms)
    return 0;
  return (unanswered_ms && active - unanswered_ms >= PROBE_AFTER_MS)
         || a->path[AC_WRITES].state != AC_AVAILABLE
         || active - a->seen_ms >= QUIET_MS;
}

void
ac_probe_sent (struct ac_access *a, int64_t now)
{
  int64_t active = active_ms (a, now);

  a->next_probe_ms = active + PROBE_GAP_MS;
  /* The first write without an answer is confirmed by a second one.  */
  if (a->path[AC_WRITES].unanswered_ms)
    {
      if (!a->probe_ms)
        a->probe_ms = active;
      if (!a->own_probe_ms)
        a->own_probe_ms = active;
    }
  ac_sent (a, AC_WRITES, now);
}

int
ac_read_probe_is_due (const struct ac_access *a, int64_t now)
{
  return a->own_probe_ms && active_ms (a, now) >= a->next_read_probe_ms;
}

void
ac_read_probe_sent (struct ac_access *a, int64_t now)
{
  int64_t active = active_ms (a, now);

  a->next_read_probe_ms = active + PROBE_GAP_MS;
  if (!a->read_probe_ms)
    a->read_probe_ms = active;
  ac_sent (a, AC_READS, now);
}

void
ac_read_probe_answered (struct ac_access *a)
{
  a->read_probe_ms = 0;
}

/* Returns 1 if writes of this VM have had no answer since FROM, the active
   time, and the probe sent at PROBE_MS confirms it.  */
static int
is_silent (int64_t active, int64_t from, int64_t probe_ms)
{
  return active - from >= WRITES_STALLED_MS && probe_ms
         && active - probe_ms >= PROBE_CONFIRMS_MS;
}

static void
check_refused (struct ac_access *a, struct ac_path *p, int64_t now)
{
  if (p->refusals >= REFUSED_CALLS
      && a->active_ms - p->refused_ms >= REFUSED_MS)
    set_state (p, AC_REFUSED, AC_REFUSAL,
               now - (a->active_ms - p->refused_ms));
}

static void
check_writes (struct ac_access *a, int64_t now)
{
  struct ac_path *p = &a->path[AC_WRITES];
  int64_t from_ms = later (p->unanswered_ms, a->seen_ms);

  if (p->unanswered_ms && is_silent (a->active_ms, from_ms, a->probe_ms))
    set_state (p, AC_STALLED, AC_NO_ANSWER, now - (a->active_ms - from_ms));
}

static void
check_reads (struct ac_access *a, int64_t now)
{
  struct ac_path *p = &a->path[AC_READS];

  if (p->unanswered_ms && a->active_ms - p->unanswered_ms >= READS_STALLED_MS)
    set_state (p, AC_STALLED, AC_NO_ANSWER,
               now - (a->active_ms - p->unanswered_ms));
}

unsigned
ac_tick (struct ac_access *a, int64_t now)
{
  unsigned changed = 0;

  a->active_ms = active_ms (a, now);
  a->ticked_ms = now;
  check_writes (a, now);
  check_reads (a, now);
  for (int i = 0; i < AC_PATHS; i++)
    {
      struct ac_path *p = &a->path[i];

      check_refused (a, p, now);
      changed |= p->state != p->reported ? 1u << i : 0;
      p->reported = p->state;
    }
  return changed;
}

int64_t
ac_outage_ms (const struct ac_access *a, enum ac_path_name path, int64_t now)
{
  const struct ac_path *p = &a->path[path];

  return p->state == AC_AVAILABLE ? 0 : now - p->since_ms;
}

/* An outage is expected to last about as long again as it has lasted, as its
   length is not known beforehand.  */
int
ac_outlasts (const struct ac_access *a, enum ac_path_name path,
             int64_t remaining_ms, int64_t now)
{
  return a->path[path].state == AC_STALLED
         && ac_outage_ms (a, path, now) >= remaining_ms;
}

int
ac_is_cut_off (const struct ac_access *a, int64_t now)
{
  const struct ac_path *p = &a->path[AC_WRITES];
  int64_t active = active_ms (a, now);

  if (p->state == AC_STALLED)
    return a->read_probe_ms && active - a->read_probe_ms >= PROBE_CONFIRMS_MS;
  if (p->state == AC_REFUSED && a->path[AC_READS].state != AC_AVAILABLE)
    return 1;
  if (active - a->seen_ms >= WRITES_STALLED_MS)
    return 0;
  if (p->state == AC_REFUSED)
    return a->seen_ms > p->refused_ms;
  return p->unanswered_ms && a->seen_ms > p->unanswered_ms
         && is_silent (active, p->unanswered_ms, a->own_probe_ms);
}

const char *
ac_state_name (enum ac_state state)
{
  switch (state)
    {
    case AC_AVAILABLE:
      return "available";
    case AC_STALLED:
      return "stalled";
    case AC_REFUSED:
      return "refused";
    }
  return "?";
}

const char *
ac_evidence_name (enum ac_evidence evidence)
{
  switch (evidence)
    {
    case AC_NOTHING:
      return "none";
    case AC_OWN_ANSWER:
      return "own call answered";
    case AC_OTHER_WRITE:
      return "write of another VM";
    case AC_NO_ANSWER:
      return "no answer";
    case AC_REFUSAL:
      return "refusals";
    }
  return "?";
}
