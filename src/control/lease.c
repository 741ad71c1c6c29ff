#include <stdio.h>
#include <string.h>

#include "control/lease.h"

void
ce_init (struct ce_lease *l, const char *self, const char *token,
         int64_t lease_ms, int64_t margin_ms)
{
  memset (l, 0, sizeof *l);
  snprintf (l->vm, sizeof l->vm, "%s", self);
  snprintf (l->token, sizeof l->token, "%s", token);
  l->lease_ms = lease_ms;
  l->margin_ms = margin_ms;
  l->available_ms = -1;
}

static int
copy_text (char *to, size_t size, const char *from)
{
  if (!from || strlen (from) >= size)
    return CT_EINVAL;
  snprintf (to, size, "%s", from);
  return CT_OK;
}

int
ce_parse (struct ce_row *row, const json_t *value, int64_t version)
{
  const char *holder, *token = "";
  json_int_t epoch, lease_ms, beat;
  int doubt = 0;

  memset (row, 0, sizeof *row);
  if (!value || json_is_null (value))
    return CT_OK;
  if (json_unpack ((json_t *)value, "{s:s, s:I, s:I, s:I, s?s, s?b}", "holder",
                   &holder, "epoch", &epoch, "lease_ms", &lease_ms, "beat",
                   &beat, "token", &token, "doubt", &doubt))
    return CT_EINVAL;
  if (copy_text (row->holder, sizeof row->holder, holder)
      || copy_text (row->token, sizeof row->token, token))
    return CT_EINVAL;
  row->epoch = epoch;
  row->lease_ms = lease_ms;
  row->beat = beat;
  row->doubt = doubt;
  row->version = version;
  return CT_OK;
}

json_t *
ce_print (const struct ce_row *row)
{
  json_t *value
      = json_pack ("{s:s, s:s, s:I, s:I, s:I}", "holder", row->holder, "token",
                   row->token, "epoch", (json_int_t)row->epoch, "lease_ms",
                   (json_int_t)row->lease_ms, "beat", (json_int_t)row->beat);

  if (row->doubt)
    json_object_set_new (value, "doubt", json_true ());
  return value;
}

/* Whether FOUND is the row of the last write.  */
static int
is_last_write (const struct ce_lease *l, const struct ce_row *found)
{
  return found->version && !strcmp (found->token, l->sent.token)
         && found->epoch == l->sent.epoch && found->beat == l->sent.beat;
}

/* Whether FOUND is an earlier write of this process for the same epoch.  */
static int
is_earlier_own_write (const struct ce_lease *l, const struct ce_row *found)
{
  return found->version && !strcmp (found->token, l->token)
         && found->epoch == l->sent.epoch;
}

static void
start_watching (struct ce_lease *l, int64_t now_ms, const struct ce_row *row)
{
  l->state = CE_WATCHING;
  l->in_flight = l->unresolved = 0;
  l->row = *row;
  if (row->epoch > l->max_epoch)
    l->max_epoch = row->epoch;
  l->row_is_current = 1;
  l->row_seen_ms = now_ms;
  l->available_ms = -1;
}

/* Detects a restored table by its decreasing versions.  A single read of a
   lower version may have been in flight while a newer row became known; a
   second one proves the restore.  */
static void
note_version (struct ce_lease *l, const struct ce_row *row)
{
  if (row->version >= l->max_version)
    {
      l->lower_reads = 0;
      l->max_version = row->version;
    }
  else if (++l->lower_reads > 1)
    {
      l->lower_reads = 0;
      l->max_version = row->version;
      l->doubt = 1;
    }
}

int
ce_observe (struct ce_lease *l, int64_t now_ms, const struct ce_row *row)
{
  if (l->state != CE_WATCHING)
    {
      if (l->in_flight || row->epoch <= l->row.epoch)
        return 0;
      start_watching (l, now_ms, row);
      return 1;
    }
  note_version (l, row);
  /* The holder with the higher epoch has checked the job rows meanwhile.  */
  if (row->epoch > l->max_epoch)
    l->doubt = 0;
  if (!l->row_is_current || row->version != l->row.version)
    start_watching (l, now_ms, row);
  return 0;
}

void
ce_read_failed (struct ce_lease *l)
{
  if (l->state == CE_WATCHING)
    l->row_is_current = 0;
}

int
ce_may_take_over (struct ce_lease *l, int64_t now_ms, int64_t delay_ms)
{
  int open = !l->row.version || !*l->row.holder
             || now_ms - l->row_seen_ms >= l->row.lease_ms;

  if (l->state != CE_WATCHING || !l->row_is_current || l->in_flight || !open)
    {
      l->available_ms = -1;
      return 0;
    }
  if (l->available_ms < 0)
    l->available_ms = now_ms;
  return now_ms - l->available_ms >= delay_ms;
}

static void
prepare_write (struct ce_lease *l, int64_t now_ms, enum ce_state state,
               const char *holder, struct ce_row *row)
{
  l->sent = (struct ce_row){ .epoch = l->row.epoch,
                             .lease_ms = l->lease_ms,
                             .beat = ++l->writes_sent,
                             .doubt = l->doubt };
  snprintf (l->sent.holder, CT_NAME, "%s", holder);
  snprintf (l->sent.token, CT_TOKEN, "%s", l->token);
  l->state = state;
  l->in_flight = 1;
  l->unresolved = 0;
  l->sent_ms = now_ms;
  *row = l->sent;
}

void
ce_take_over (struct ce_lease *l, int64_t now_ms, struct ce_row *row)
{
  /* An epoch is written to the table before it is used, so a row with a lower
     epoch than one seen elsewhere comes from a restored table.  */
  l->doubt |= l->row.doubt || l->row.epoch < l->max_epoch;
  prepare_write (l, now_ms, CE_TAKING_OVER, l->vm, row);
  l->sent.epoch
      = (l->row.epoch > l->max_epoch ? l->row.epoch : l->max_epoch) + 1;
  *row = l->sent;
}

void
ce_renew (struct ce_lease *l, int64_t now_ms, struct ce_row *row)
{
  prepare_write (l, now_ms, CE_HOLDING, l->vm, row);
}

void
ce_release (struct ce_lease *l, int64_t now_ms, struct ce_row *row)
{
  prepare_write (l, now_ms, CE_RELEASING, "", row);
  l->valid_until_ms = now_ms;
}

static void
write_succeeded (struct ce_lease *l, int64_t now_ms, int64_t rev)
{
  l->in_flight = l->unresolved = 0;
  l->row = l->sent;
  l->row.version = l->max_version = rev;
  if (l->row.epoch > l->max_epoch)
    l->max_epoch = l->row.epoch;
  if (l->state == CE_RELEASING)
    {
      start_watching (l, now_ms, &l->sent);
      l->row.version = rev;
      return;
    }
  l->state = CE_HOLDING;
  l->valid_until_ms = l->sent_ms + l->lease_ms - l->margin_ms;
}

static void
write_failed (struct ce_lease *l)
{
  l->in_flight = l->unresolved = 0;
  if (l->state == CE_TAKING_OVER)
    {
      l->state = CE_WATCHING;
      l->row_is_current = 0;
      l->available_ms = -1;
    }
}

/* Handles an own write that was considered failed but was applied later.  The
   lease is held at that version, but for an unknown time, so it must be
   renewed before it is used.  */
static enum ce_result
handle_late_write (struct ce_lease *l, int64_t now_ms,
                   const struct ce_row *found)
{
  int was_taking_over = l->state == CE_TAKING_OVER;

  /* The beat is lower than that of a confirmed write, so the table was
     restored to an earlier state.  */
  if (!was_taking_over && found->beat < l->row.beat)
    l->doubt = 1;
  l->in_flight = l->unresolved = 0;
  l->row = *found;
  l->state = CE_HOLDING;
  if (was_taking_over)
    l->valid_until_ms = now_ms;
  return was_taking_over ? CE_WRITTEN : CE_NOT_WRITTEN;
}

enum ce_result
ce_result (struct ce_lease *l, int64_t now_ms, enum ce_result result,
           int64_t rev, const struct ce_row *found)
{
  switch (result)
    {
    case CE_WRITTEN:
      write_succeeded (l, now_ms, rev);
      return CE_WRITTEN;
    case CE_NOT_WRITTEN:
      write_failed (l);
      return CE_NOT_WRITTEN;
    case CE_UNKNOWN:
      l->unresolved = 1;
      return CE_UNKNOWN;
    case CE_CONFLICT:
      break;
    }
  if (is_last_write (l, found))
    {
      write_succeeded (l, now_ms, found->version);
      return CE_WRITTEN;
    }
  if (is_earlier_own_write (l, found))
    return handle_late_write (l, now_ms, found);
  start_watching (l, now_ms, found);
  return CE_CONFLICT;
}

enum ce_result
ce_resolve (struct ce_lease *l, int64_t now_ms, const struct ce_row *found)
{
  if (found->version == l->row.version)
    return ce_result (l, now_ms, CE_NOT_WRITTEN, 0, NULL);
  return ce_result (l, now_ms, CE_CONFLICT, 0, found);
}

int
ce_may_act (const struct ce_lease *l, int64_t now_ms)
{
  return l->state == CE_HOLDING && now_ms < l->valid_until_ms;
}

int
ce_is_holder (const struct ce_lease *l)
{
  return l->state == CE_HOLDING;
}

int
ce_epoch_reused (struct ce_lease *l, int64_t now_ms, int64_t epoch)
{
  struct ce_row row = l->row;

  if (l->state != CE_HOLDING || epoch < l->row.epoch)
    return 0;
  if (epoch > l->max_epoch)
    l->max_epoch = epoch;
  start_watching (l, now_ms, &row);
  l->row_is_current = 0;
  l->doubt = 1;
  return 1;
}

void
ce_clear_doubt (struct ce_lease *l)
{
  l->doubt = 0;
}

int
ce_observe_epoch (struct ce_lease *l, int64_t now_ms, int64_t epoch)
{
  struct ce_row row = l->row;

  if (epoch > l->max_epoch)
    l->max_epoch = epoch;
  if (l->state != CE_HOLDING || epoch <= l->row.epoch)
    return 0;
  start_watching (l, now_ms, &row);
  l->row_is_current = 0;
  return 1;
}
