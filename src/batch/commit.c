/* The holder's writes: one transaction at a time, each of which expects the
   lease row as the one before left it and renews the lease.  */
#include <stdlib.h>
#include <string.h>

#include "batch/holder.h"

enum
{
  WRITE_TIMEOUT_MS = 800,
  COMMIT_BYTES = 500000, /* of records; the store takes 1 MB in base64 */
  AGAIN_MIN_MS = 40,     /* after a failed write; doubles */
  AGAIN_MAX_MS = 400
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
cm_end (struct batch *b)
{
  struct ba_commit *c = &b->commit;

  c->open = c->in_flight = c->entries = c->tries = 0;
  if (c->text)
    g_ptr_array_set_size (c->text, 0);
}

static const char *
keep (struct ba_commit *c, char *text)
{
  g_ptr_array_add (c->text, text);
  return text;
}

static void
add (struct ba_commit *c, enum po_entry_kind kind, const char *table,
     char *key, char *value)
{
  struct po_entry *e = &c->entry[c->entries++];

  *e = (struct po_entry){ .kind = kind,
                          .table = table,
                          .key = keep (c, key),
                          .value = value ? keep (c, value) : NULL };
}

void
cm_begin (struct batch *b, enum ba_commit_kind kind, char *lease_value)
{
  struct ba_commit *c = &b->commit;

  if (!c->text)
    c->text = g_ptr_array_new_with_free_func (free);
  cm_end (b);
  c->open = 1;
  c->kind = kind;
  c->first_sent_ms = 0;
  c->next_ms = b->now;
  add (c, PO_EXPECT, "jobs", strdup (vw_lease_key ()), NULL);
  add (c, PO_PUT, "jobs", strdup (vw_lease_key ()), lease_value);
}

/* The row may have changed while a take waited to be sent again.  */
static int
take_is_open (struct batch *b)
{
  switch (le_take_state (&b->lease))
    {
    case LE_TAKE_OPEN:
      return 1;
    case LE_TAKE_DONE:
      commit_done (b, b->lease.version);
      return 0;
    case LE_TAKE_STALE:
      break;
    }
  cm_end (b);
  b->take_at_ms = 0;
  return 0;
}

void
cm_send (struct batch *b)
{
  struct ba_commit *c = &b->commit;
  struct ba_ask *ask;

  if (!c->open || c->in_flight || b->now < c->next_ms)
    return;
  if (c->kind == BA_TAKE && !take_is_open (b))
    return;
  ask = ba_new_ask (b, BA_COMMIT);
  if (!c->first_sent_ms)
    c->first_sent_ms = b->now;
  c->entry[0].version = b->lease.version;
  c->in_flight = 1;
  if (!po_write (&b->port, c->entry, c->entries, WRITE_TIMEOUT_MS, ba_on_rows,
                 ask))
    return;
  g_free (ask);
  c->in_flight = 0;
  c->next_ms = b->now + AGAIN_MAX_MS;
}

/* Returns the bytes that were added.  */
static size_t
add_record (struct batch *b, const struct sj_dirty *d)
{
  struct ba_commit *c = &b->commit;
  char *record = json_dumps (d->record, JSON_COMPACT), key[VW_KEY];

  add (c, PO_PUT, "runs", strdup (d->id), record);
  json_decref (d->record);
  if (d->state_changed)
    {
      vw_key (key, d->id, VW_STATE);
      add (c, PO_PUT, "jobs", strdup (key),
           vw_state_value (d->state, ba_store_clock (b)));
      log_state (b, d->id, d->state);
    }
  return strlen (record);
}

static void
add_records (struct batch *b)
{
  struct sj_dirty dirty;
  size_t bytes = 0;

  for (int i = 0; i < BA_COMMIT_JOBS && bytes < COMMIT_BYTES
                  && sj_dirty (b->cluster, &dirty, 1);
       i++)
    bytes += add_record (b, &dirty);
}

static void
add_drops (struct batch *b)
{
  char old[BA_COMMIT_OLD][SJ_ID], key[VW_KEY];
  int64_t before = ba_store_clock (b) - b->set->keep_s * 1000;
  int n = vw_old (&b->view, before, old, BA_COMMIT_OLD);

  for (int i = 0; i < n; i++)
    {
      add (&b->commit, PO_DROP, "runs", strdup (old[i]), NULL);
      for (enum vw_row kind = VW_JOB; kind <= VW_CANCEL; kind++)
        {
          vw_key (key, old[i], kind);
          add (&b->commit, PO_DROP, "jobs", strdup (key), NULL);
        }
    }
}

void
cm_begin_records (struct batch *b)
{
  char *value = le_renew_value (&b->lease, &b->commit.serial);

  cm_begin (b, BA_RECORDS, value);
  add_records (b);
  add_drops (b);
  /* An end is let go only with its record, which may be among those that
     this commit had no room for.  */
  if (!sj_is_dirty (b->cluster))
    wk_commit_begins (b);
  co_add (b, b->count.commits, 1);
}

/* What was stored here is known without the store's telling, which may be
   late: a job that has ended must not be added again by its own row.  */
static void
remember_states (struct batch *b, int64_t version)
{
  const struct ba_commit *c = &b->commit;
  char id[SJ_ID];

  for (int i = 0; i < c->entries; i++)
    {
      const struct po_entry *e = &c->entry[i];

      if (e->kind == PO_PUT && vw_kind (e->key, id) == VW_STATE)
        vw_take (&b->view, e->key, e->value, version, 0,
                 b->job_follow.generation);
    }
}

static void
commit_done (struct batch *b, int64_t version)
{
  struct ba_commit *c = &b->commit;
  enum ba_commit_kind kind = c->kind;
  int64_t sent = c->first_sent_ms, serial = c->serial;

  st_observe_us (&b->stats, b->count.shard, b->count.commit_us,
                 (b->now - sent) * 1000);
  if (kind == BA_RECORDS)
    remember_states (b, version);
  cm_end (b);
  switch (kind)
    {
    case BA_TAKE:
      le_taken (&b->lease, version, sent, b->now);
      ho_begin_turn (b);
      break;
    case BA_RECORDS:
      le_renewed (&b->lease, version, serial, sent, b->now);
      wk_commit_ends (b, 1);
      sj_committed (b->cluster, 1, b->now);
      break;
    case BA_FREE:
      ho_log_turn (b, LG_LEASE_RELEASED, "stopping");
      ho_end_turn (b);
      break;
    }
}

static void
commit_conflict (struct batch *b, const struct po_rows *rows)
{
  const struct po_row *row = rows->count ? &rows->row[0] : NULL;
  int64_t serial;

  if (b->commit.kind == BA_TAKE)
    {
      if (row)
        le_seen (&b->lease, row->version, row->value, b->now);
      if (le_take_state (&b->lease) == LE_TAKE_DONE)
        {
          commit_done (b, b->lease.version);
          return;
        }
      cm_end (b);
      b->take_at_ms = 0;
      return;
    }
  if (!row
      || !le_conflict (&b->lease, row->version, row->value, b->now, &serial))
    {
      ho_step_down (b, "the lease row was taken");
      return;
    }
  if (b->commit.kind == BA_RECORDS && serial == b->commit.serial)
    commit_done (b, row->version);
  else
    b->commit.next_ms = b->now;
}

void
ho_committed (struct batch *b, struct ba_ask *ask, struct po_rows *rows)
{
  struct ba_commit *c = &b->commit;

  if (ask->serial != b->turn || !c->in_flight)
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
    case PO_FORGOTTEN:
    case PO_NOT_DONE:
    case PO_UNKNOWN:
      c->next_ms
          = b->now + (c->tries < 4 ? AGAIN_MIN_MS << c->tries : AGAIN_MAX_MS);
      c->tries++;
      /* A take that was refused is weighed anew.  */
      if (c->kind == BA_TAKE && rows->result == PO_NOT_DONE)
        cm_end (b);
      break;
    }
}
