#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "batch/lease.h"

static const int64_t max_epoch = INT64_C (1) << 52;

static void
copy_name (char out[LE_NAME_SIZE], const char *text)
{
  size_t n = text ? strlen (text) : 0;

  if (n > LE_NAME_SIZE - 1)
    n = LE_NAME_SIZE - 1;
  if (n)
    memcpy (out, text, n);
  out[n] = '\0';
}

void
le_init (struct le_lease *l, const struct le_settings *set, const char *vm,
         const char *token)
{
  memset (l, 0, sizeof *l);
  l->settings = *set;
  copy_name (l->vm, vm);
  copy_name (l->token, token);
}

/* The row's epoch, or 0 if no holder can have written it.  */
static int64_t
read_epoch (const json_t *row)
{
  int64_t epoch = json_integer_value (json_object_get (row, "epoch"));

  return epoch >= 0 && epoch <= max_epoch ? epoch : 0;
}

int
le_row_seen (struct le_lease *l, int64_t version, const char *value,
             int64_t now)
{
  json_t *o;

  if (l->known && version <= l->version)
    return 0;
  o = json_loads (value, 0, NULL);
  l->known = 1;
  l->version = version;
  l->changed_ms = now;
  /* A row that another writer left must not let the fencing token fall.  */
  l->epoch = MAX (l->epoch, read_epoch (o));
  l->serial = json_integer_value (json_object_get (o, "serial"));
  l->holder_cpu_milli = json_integer_value (json_object_get (o, "cpu"));
  copy_name (l->holder_token,
             json_string_value (json_object_get (o, "token")));
  /* The holder's own may be ahead of the row.  */
  if (!l->held || strcmp (l->holder_token, l->token) != 0)
    ca_read (&l->caution, json_object_get (o, "caution"));
  copy_name (l->holder_vm, json_string_value (json_object_get (o, "vm")));
  json_decref (o);
  if (!l->held || !strcmp (l->holder_token, l->token))
    return 0;
  l->held = 0;
  return 1;
}

void
le_table_read (struct le_lease *l, int64_t now)
{
  if (l->known)
    return;
  l->known = 1;
  l->changed_ms = now;
}

void
le_store_recovered (struct le_lease *l, int64_t now)
{
  l->changed_ms = now;
}

int
le_may_acquire (const struct le_lease *l, int64_t now)
{
  if (!l->known || l->held)
    return 0;
  if (!strcmp (l->holder_vm, l->vm) && strcmp (l->holder_token, l->token) != 0)
    return 1;
  return !*l->holder_token || now - l->changed_ms >= l->settings.takeover_ms;
}

int
le_is_small (const struct le_lease *l)
{
  return l->settings.cpu_milli * 3 < l->holder_cpu_milli * 2;
}

int
le_valid (const struct le_lease *l, int64_t now)
{
  return l->held && now < l->valid_until_ms;
}

int64_t
le_renew_at (const struct le_lease *l)
{
  return l->renewed_ms + l->settings.renew_ms;
}

static char *
write_value (const struct le_lease *l, const char *token, int64_t epoch,
             int64_t serial, const struct ca_caution *caution)
{
  json_t *o
      = json_pack ("{s:s,s:s,s:I,s:I,s:I}", "token", token, "vm", l->vm,
                   "epoch", (json_int_t)epoch, "serial", (json_int_t)serial,
                   "cpu", (json_int_t)l->settings.cpu_milli);
  json_t *c = ca_write (caution);
  char *text;

  if (c)
    json_object_set_new (o, "caution", c);
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

char *
le_acquire_value (struct le_lease *l, const struct le_end *end)
{
  l->attempt_version = l->version;
  l->attempt_epoch = l->epoch + 1;
  l->attempt_caution = l->caution;
  l->attempt_suspensions = 0;
  if (*l->holder_token && !strcmp (end->token, l->holder_token)
      && end->age_ms < CA_SHORT_MS)
    l->attempt_suspensions = ca_note_crash (&l->attempt_caution, end->id);
  return write_value (l, l->token, l->attempt_epoch, 1, &l->attempt_caution);
}

enum le_attempt
le_attempt_state (const struct le_lease *l)
{
  if (l->version == l->attempt_version)
    return LE_ATTEMPT_OPEN;
  return !strcmp (l->holder_token, l->token) && l->epoch == l->attempt_epoch
             ? LE_ATTEMPT_DONE
             : LE_ATTEMPT_STALE;
}

int64_t
le_raise (struct le_lease *l)
{
  l->wanted_epoch = l->epoch + 1;
  return l->wanted_epoch;
}

int
le_wants_raise (const struct le_lease *l)
{
  return l->wanted_epoch > l->epoch;
}

char *
le_renew_value (struct le_lease *l, int64_t *serial)
{
  *serial = l->serial + 1;
  l->attempt_epoch = MAX (l->epoch, l->wanted_epoch);
  return write_value (l, l->token, l->attempt_epoch, *serial, &l->caution);
}

char *
le_release_value (const struct le_lease *l)
{
  return write_value (l, "", l->epoch, l->serial + 1, &l->caution);
}

static void
set_held (struct le_lease *l, int64_t version, int64_t sent_ms, int64_t now)
{
  copy_name (l->holder_token, l->token);
  copy_name (l->holder_vm, l->vm);
  l->holder_cpu_milli = l->settings.cpu_milli;
  if (version > l->version)
    l->version = version;
  l->changed_ms = now;
  l->renewed_ms = sent_ms;
  l->valid_until_ms = sent_ms + l->settings.valid_ms;
}

void
le_acquired (struct le_lease *l, int64_t version, int64_t sent_ms, int64_t now)
{
  l->held = 1;
  l->epoch = l->attempt_epoch;
  l->caution = l->attempt_caution;
  l->serial = 1;
  set_held (l, version, sent_ms, now);
}

void
le_renewed (struct le_lease *l, int64_t version, int64_t serial,
            int64_t sent_ms, int64_t now)
{
  l->serial = serial;
  l->epoch = MAX (l->epoch, l->attempt_epoch);
  set_held (l, version, sent_ms, now);
}

int
le_conflict (struct le_lease *l, int64_t version, const char *value,
             int64_t now, int64_t *serial)
{
  int64_t epoch = l->epoch;

  l->version = version - 1;
  le_row_seen (l, version, value, now);
  *serial = l->serial;
  return l->held && (l->epoch == epoch || l->epoch == l->attempt_epoch);
}

void
le_end_orders (struct le_lease *l, int64_t now)
{
  l->valid_until_ms = now;
}

void
le_drop (struct le_lease *l)
{
  l->held = 0;
}
