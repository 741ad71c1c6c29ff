/* This VM's access to the store: passes the evidence to skr/access.h, logs
   changes, and probes whether the store answers writes.  */
#include "batch/batch.h"

enum
{
  PROBE_TIMEOUT_MS = 1000,
  RETRY_AFTER_MS = 1000 /* when the access is not tracked */
};

int
ba_tracks_access (const struct batch *b)
{
  return b->settings->refuse_stalled_writes || b->relay.peers;
}

int
ba_relays_writes (const struct batch *b)
{
  return b->relay.peers
         && (b->store_down || ac_is_cut_off (&b->access, b->now_ms));
}

int
ba_relays_reads (const struct batch *b)
{
  const struct ac_access *a = &b->access;
  /* Then a read probe has no answer either.  */
  int is_silent
      = a->path[AC_WRITES].state == AC_STALLED && ac_is_cut_off (a, b->now_ms);

  return b->relay.peers
         && (b->store_down || is_silent
             || a->path[AC_READS].state != AC_AVAILABLE);
}

int
ba_refuses_writes (const struct batch *b)
{
  return b->settings->refuse_stalled_writes
         && b->access.path[AC_WRITES].state == AC_STALLED;
}

static enum ac_path_name
path_of (enum ba_purpose purpose)
{
  switch (purpose)
    {
    case BA_COMMIT:
    case BA_SUBMIT:
    case BA_CANCEL:
    case BA_WITHDRAW:
    case BA_EXPIRE:
    case BA_PROBE:
    case BA_PUBLISH:
      return AC_WRITES;
    case BA_SCAN:
    case BA_POLL:
    case BA_LOAD_RECORDS:
    case BA_LOAD_JOBS:
    case BA_LOOKUP:
    case BA_READ_PROBE:
      break;
    }
  return AC_READS;
}

void
ba_note_sent (struct batch *b, const struct ba_store_call *call)
{
  if (call->purpose != BA_PROBE)
    ac_sent (&b->access, path_of (call->purpose), b->now_ms);
}

void
ba_note_reply (struct batch *b, const struct ba_store_call *call,
               enum po_result result)
{
  enum ac_reply reply = AC_ANSWERED;

  if (result == PO_NOT_DONE || result == PO_REFUSED)
    reply = AC_NOT_DONE;
  else if (result == PO_UNKNOWN)
    reply = AC_LOST;
  if (call->purpose == BA_READ_PROBE && reply == AC_ANSWERED)
    ac_read_probe_answered (&b->access);
  ac_replied (&b->access, path_of (call->purpose), reply, b->now_ms);
}

void
ba_note_write_seen (struct batch *b)
{
  ac_write_seen (&b->access, b->now_ms);
}

static void
log_path (struct batch *b, enum ac_path_name path)
{
  const struct ac_access *a = &b->access;
  const struct ac_path *p = &a->path[path];
  struct lg_field f[]
      = { lg_str ("path", path == AC_READS ? "reads" : "writes"),
          lg_str ("state", ac_state_name (p->state)),
          lg_str ("evidence", ac_evidence_name (p->evidence)),
          lg_int ("before_ms", b->now_ms - p->since_ms),
          lg_int ("unanswered_ms",
                  p->unanswered_ms ? a->active_ms - p->unanswered_ms : -1),
          lg_int ("seen_ms",
                  path == AC_WRITES ? a->active_ms - a->seen_ms : -1) };

  lg_log (LG_STORE_ACCESS, 6, f);
}

/* The probe's condition never holds: no row has this key.  The store therefore
   changes nothing, now or later.  */
static void
send_probe (struct batch *b)
{
  struct ba_store_call *call = ba_new_store_call (b, BA_PROBE);
  struct po_entry e[] = {
    { .kind = PO_EXPECT, .table = "jobs", .key = "~probe", .version = 1 },
    { .kind = PO_PUT, .table = "jobs", .key = "~probe", .value = "{}" }
  };

  if (po_write (&b->entry_port, e, 2, PROBE_TIMEOUT_MS, ba_on_store_reply,
                call))
    {
      g_free (call);
      return;
    }
  ac_probe_sent (&b->access, b->now_ms);
  co_add (b, b->counters.probes, 1);
}

static void
send_read_probe (struct batch *b)
{
  struct ba_store_call *call = ba_new_store_call (b, BA_READ_PROBE);

  if (po_read (&b->entry_port, "jobs", "~probe", "~probe~", PROBE_TIMEOUT_MS,
               ba_on_store_reply, call))
    {
      g_free (call);
      return;
    }
  ac_read_probe_sent (&b->access, b->now_ms);
}

void
ba_access_tick (struct batch *b)
{
  unsigned changed;

  if (!ba_tracks_access (b))
    return;
  changed = ac_tick (&b->access, b->now_ms);
  for (enum ac_path_name i = AC_READS; i < AC_PATHS; i++)
    if (changed & 1u << i)
      log_path (b, i);
  /* While the store is unavailable, the polls of the tables show when it
     returns.  */
  if (!b->store_down && ac_probe_is_due (&b->access, b->now_ms))
    send_probe (b);
  else if (!b->store_down && ac_read_probe_is_due (&b->access, b->now_ms))
    send_read_probe (b);
}

int
ba_retry_after_s (struct batch *b, const char *id, const char *call)
{
  struct ac_refusal r;

  if (!b->settings->refuse_stalled_writes || !*id)
    return qu_retry_after_s (RETRY_AFTER_MS);
  r = ac_refuse (&b->access, g_ascii_strtoull (id, NULL, 16), b->now_ms);
  struct lg_field f[] = { lg_str ("id", id),
                          lg_str ("call", call),
                          lg_int ("retry_after_s", r.retry_after_s),
                          lg_int ("outage_ms", r.outage_ms),
                          lg_int ("refused", r.refused),
                          lg_int ("earlier", r.times) };

  lg_log (LG_RETRY_AFTER, 6, f);
  return r.retry_after_s;
}
