/* Writes the lease holder's transactions, one at a time.  Each expects the
   lease row as the previous one left it and also renews the lease.  */
#include <stdlib.h>
#include <string.h>

#include "batch/holder.h"

enum
{
  WRITE_TIMEOUT_MS = 800,
  LEASE_ENTRIES = 2,    /* its condition and its new value */
  ROWS_PER_RECORD = 2,  /* the record, and the state if it changed */
  ROWS_PER_EXPIRED = 4, /* rows of an expired job */
  MAX_RECORD_ENTRIES
  = PO_MAX_ENTRIES - ROWS_PER_EXPIRED * BA_COMMIT_MAX_EXPIRED,
  MAX_COMMIT_BYTES = 500000, /* of the records in one transaction; the store
                                accepts 1 MB as base64 */
  RETRY_MIN_MS = 40,         /* doubles with each failed write */
  RETRY_MAX_MS = 400,
  /* An attempt to acquire the lease that the store did not answer is repeated
     later than the holder repeats its renewal, and much later on a VM much
     smaller than the holder's: when the store answers again, the holder goes
     on with its work.  */
  ATTEMPT_RETRY_MS = 1000,
  SMALL_VM_ATTEMPT_RETRY_MS = 5000
};

static void commit_done (struct batch *b, int64_t version);

static void
log_state (struct batch *b, const char *id, enum sj_state state)
{
  struct lg_field f[]
      = { lg_str ("id", id), lg_str ("state", sj_state_name (state)),
          lg_int ("epoch", b->lease.epoch) };

  lg_log (LG_STEP_JOB_STATE, 3, f);
}

void
cm_reset (struct batch *b)
{
  struct ba_commit *c = &b->commit;

  c->open = c->in_flight = c->entries = c->tries = c->records = 0;
  if (c->strings)
    g_ptr_array_set_size (c->strings, 0);
}

static const char *
add_owned_string (struct ba_commit *c, char *text)
{
  g_ptr_array_add (c->strings, text);
  return text;
}

static void
add_entry (struct ba_commit *c, enum po_entry_kind kind, const char *table,
           char *key, char *value)
{
  struct po_entry *e = &c->entry[c->entries++];

  *e = (struct po_entry){ .kind = kind,
                          .table = table,
                          .key = add_owned_string (c, key),
                          .value
                          = value ? add_owned_string (c, value) : NULL };
}

void
cm_begin (struct batch *b, enum ba_commit_kind kind, char *lease_value)
{
  struct ba_commit *c = &b->commit;

  if (!c->strings)
    c->strings = g_ptr_array_new_with_free_func (free);
  cm_reset (b);
  c->open = 1;
  c->kind = kind;
  c->first_sent_ms = 0;
  c->next_ms = b->now_ms;
  add_entry (c, PO_EXPECT, "jobs", strdup (vw_lease_key ()), NULL);
  add_entry (c, PO_PUT, "jobs", strdup (vw_lease_key ()), lease_value);
}

/* Returns 1 if the attempt to acquire the lease may be sent.  The lease row
   may have changed while the attempt waited for its retry.  */
static int
attempt_is_open (struct batch *b)
{
  switch (le_attempt_state (&b->lease))
    {
    case LE_ATTEMPT_OPEN:
      return 1;
    case LE_ATTEMPT_DONE:
      commit_done (b, b->lease.version);
      return 0;
    case LE_ATTEMPT_STALE:
      break;
    }
  cm_reset (b);
  b->acquire_at_ms = 0;
  return 0;
}

void
cm_send (struct batch *b)
{
  struct ba_commit *c = &b->commit;
  struct ba_store_call *call;

  if (!c->open || c->in_flight || b->now_ms < c->next_ms)
    return;
  if (c->kind == BA_COMMIT_ACQUIRE && !attempt_is_open (b))
    return;
  call = ba_new_store_call (b, BA_COMMIT);
  if (!c->first_sent_ms)
    c->first_sent_ms = b->now_ms;
  c->entry[0].version = b->lease.version;
  c->in_flight = 1;
  if (!po_write (&b->port, c->entry, c->entries, WRITE_TIMEOUT_MS,
                 ba_on_store_reply, call))
    return;
  g_free (call);
  c->in_flight = 0;
  c->next_ms = b->now_ms + RETRY_MAX_MS;
}

/* Sets job ID aside, whose record the store does not take.  The ends of its
   runs are not acknowledged until its record is stored.  */
static void
set_aside (struct batch *b, const char *id, enum sj_aside_reason reason,
           size_t bytes)
{
  struct lg_field f[] = { lg_str ("id", id), lg_int ("bytes", (int64_t)bytes),
                          lg_int ("status", b->commit.refused_status),
                          lg_str ("reason", sj_aside_reason_name (reason)) };

  if (!sj_set_aside (b->cluster, id, reason, b->now_ms))
    return;
  wk_hold_ends (b);
  lg_log (LG_RECORD_ASIDE, 4, f);
  co_add (b, b->counters.aside_records, 1);
}

/* Returns the number of bytes added.  */
static size_t
add_record (struct batch *b, const struct sj_dirty *d)
{
  struct ba_commit *c = &b->commit;
  char *record = d->record ? json_dumps (d->record, JSON_COMPACT) : NULL;
  char key[VW_KEY_SIZE];
  size_t bytes = record ? strlen (record) : 0;

  json_decref (d->record);
  if (bytes > PO_MAX_VALUE_BYTES)
    {
      free (record);
      set_aside (b, d->id, SJ_TOO_LARGE, bytes);
      return 0;
    }
  add_entry (c, record ? PO_PUT : PO_DELETE, "runs", strdup (d->key), record);
  c->records++;
  memcpy (c->last_record, d->id, SJ_ID_SIZE);
  c->last_bytes = bytes;
  if (d->state_changed)
    {
      vw_make_key (key, d->id, VW_STATE);
      add_entry (c, PO_PUT, "jobs", strdup (key),
                 vw_state_value (d->state, ba_store_clock_now_ms (b)));
      log_state (b, d->id, d->state);
    }
  return bytes;
}

static void
add_records (struct batch *b)
{
  struct sj_dirty dirty;
  size_t bytes = 0;

  while ((!b->commit.max_records || b->commit.records < b->commit.max_records)
         && b->commit.entries + ROWS_PER_RECORD <= MAX_RECORD_ENTRIES
         && bytes < MAX_COMMIT_BYTES && sj_dirty (b->cluster, &dirty, 1))
    bytes += add_record (b, &dirty);
}

static void
add_deletions (struct batch *b)
{
  char expired[BA_COMMIT_MAX_EXPIRED][SJ_ID_SIZE], key[VW_KEY_SIZE];
  int64_t before_ms = ba_store_clock_now_ms (b) - b->settings->keep_s * 1000;
  int n
      = vw_expired_jobs (&b->view, before_ms, expired, BA_COMMIT_MAX_EXPIRED);

  for (int i = 0; i < n; i++)
    {
      add_entry (&b->commit, PO_DELETE, "runs", strdup (expired[i]), NULL);
      for (enum vw_row kind = VW_JOB; kind <= VW_CANCEL; kind++)
        {
          vw_make_key (key, expired[i], kind);
          add_entry (&b->commit, PO_DELETE, "jobs", strdup (key), NULL);
        }
    }
}

void
cm_begin_records (struct batch *b)
{
  char *value;

  /* Starts that this transaction allows have a higher token than all polls
     before it; see ack.h.  */
  if (sj_is_dirty (b->cluster))
    le_raise (&b->lease);
  value = le_renew_value (&b->lease, &b->commit.serial);
  cm_begin (b, BA_COMMIT_RECORDS, value);
  if (!*b->commit.suspect)
    add_records (b);
  if (!b->commit.max_records)
    add_deletions (b);
  co_add (b, b->counters.commits, 1);
}

void
cm_begin_term (struct batch *b)
{
  b->commit.max_records = 0;
  b->commit.suspect[0] = '\0';
}

/* The store refuses the transaction for good.  Fewer records are tried at a
   time until the one at fault is alone, then none, which shows whether it is
   at fault.  The order of the records stays the same.  */
static void
commit_refused (struct batch *b, long status)
{
  struct ba_commit *c = &b->commit;
  int records = c->records;

  c->refused_status = status;
  co_add (b, b->counters.refused_commits, 1);
  sj_committed (b->cluster, 0, b->now_ms);
  if (records == 1)
    memcpy (c->suspect, c->last_record, SJ_ID_SIZE);
  c->max_records = MAX (records / 2, 1);
  cm_reset (b);
}

/* The store has taken a transaction.  If it was sent without the record of
   the suspect, that record is at fault.  */
static void
note_accepted (struct batch *b)
{
  struct ba_commit *c = &b->commit;

  if (*c->suspect)
    {
      char id[SJ_ID_SIZE];

      memcpy (id, c->suspect, sizeof id);
      c->suspect[0] = '\0';
      set_aside (b, id, SJ_REFUSED_RECORD, c->last_bytes);
      return;
    }
  c->max_records *= 2;
  if (c->max_records > MAX_RECORD_ENTRIES)
    c->max_records = 0;
}

/* Applies the states that a commit stored.  The table's change feed may
   deliver them later; without them a finished job would be added again when
   its own row arrives.  */
static void
apply_stored_states (struct batch *b, int64_t version)
{
  const struct ba_commit *c = &b->commit;
  char id[SJ_ID_SIZE];

  for (int i = 0; i < c->entries; i++)
    {
      const struct po_entry *e = &c->entry[i];

      if (e->kind == PO_PUT && vw_parse_key (e->key, id) == VW_STATE)
        vw_apply_row (&b->view, e->key, e->value, version, 0,
                      b->job_follower.generation);
    }
}

static void
commit_done (struct batch *b, int64_t version)
{
  struct ba_commit *c = &b->commit;
  enum ba_commit_kind kind = c->kind;
  int64_t sent_ms = c->first_sent_ms, serial = c->serial;

  st_observe_us (&b->stats, b->counters.shard, b->counters.commit_duration,
                 (b->now_ms - sent_ms) * 1000);
  b->usage.commit_ms = MAX (b->usage.commit_ms, b->now_ms - sent_ms);
  if (kind == BA_COMMIT_RECORDS)
    apply_stored_states (b, version);
  cm_reset (b);
  switch (kind)
    {
    case BA_COMMIT_ACQUIRE:
      le_acquired (&b->lease, version, sent_ms, b->now_ms);
      ho_begin_term (b);
      break;
    case BA_COMMIT_RECORDS:
      le_renewed (&b->lease, version, serial, sent_ms, b->now_ms);
      sj_committed (b->cluster, 1, b->now_ms);
      note_accepted (b);
      wk_note_stored (b);
      break;
    case BA_COMMIT_RELEASE:
      ho_log_term (b, LG_LEASE_RELEASED, "stopping");
      ho_end_term (b);
      break;
    }
}

static void
commit_conflict (struct batch *b, const struct po_rows *rows)
{
  const struct po_row *row = rows->count ? &rows->row[0] : NULL;
  int64_t serial;

  if (b->commit.kind == BA_COMMIT_ACQUIRE)
    {
      if (row)
        le_row_seen (&b->lease, row->version, row->value, b->now_ms);
      if (le_attempt_state (&b->lease) == LE_ATTEMPT_DONE)
        {
          commit_done (b, b->lease.version);
          return;
        }
      cm_reset (b);
      b->acquire_at_ms = 0;
      return;
    }
  if (!row
      || !le_conflict (&b->lease, row->version, row->value, b->now_ms,
                       &serial))
    {
      ho_step_down (b, "another VM took the lease");
      return;
    }
  if (b->commit.kind == BA_COMMIT_RECORDS && serial == b->commit.serial)
    commit_done (b, row->version);
  else
    b->commit.next_ms = b->now_ms;
}

/* The attempt to acquire the lease was refused or not answered.  A refused
   one is dropped, and the conditions for a new one are checked again.  */
static void
attempt_failed (struct batch *b, enum po_result result)
{
  struct ba_commit *c = &b->commit;

  if (result == PO_UNKNOWN && !le_is_small (&b->lease))
    {
      c->next_ms = b->now_ms + ATTEMPT_RETRY_MS;
      return;
    }
  if (result == PO_UNKNOWN)
    b->no_attempt_before_ms = b->now_ms + SMALL_VM_ATTEMPT_RETRY_MS;
  cm_reset (b);
}

/* Whether the transaction has more than the lease row.  */
static int
has_more_than_lease (const struct ba_commit *c)
{
  return c->entries > LEASE_ENTRIES;
}

void
ho_on_commit_reply (struct batch *b, struct ba_store_call *call,
                    struct po_rows *rows)
{
  struct ba_commit *c = &b->commit;

  if (call->serial != b->term || !c->in_flight)
    return;
  c->in_flight = 0;
  switch (rows->result)
    {
    case PO_DONE:
      commit_done (b, rows->version);
      break;
    case PO_CONFLICT:
      commit_conflict (b, rows);
      break;
    case PO_REFUSED:
      if (c->kind == BA_COMMIT_RECORDS && has_more_than_lease (c))
        {
          commit_refused (b, rows->status);
          break;
        }
      c->suspect[0] = '\0';
      /* fallthrough */
    case PO_HISTORY_GONE:
    case PO_NOT_DONE:
    case PO_UNKNOWN:
      c->next_ms = b->now_ms
                   + (c->tries < 4 ? RETRY_MIN_MS << c->tries : RETRY_MAX_MS);
      c->tries++;
      if (c->kind == BA_COMMIT_ACQUIRE)
        attempt_failed (b, rows->result);
      break;
    }
}
