/* The VMs that requests can be relayed to: each publishes its address and
   secret in a row and reads the rows of the others.  */
#include <stdlib.h>
#include <string.h>

#include "batch/batch.h"

enum
{
  PUBLISH_GAP_MS = 30000, /* 300 VMs: 10 writes a second */
  PUBLISH_RETRY_MS = 1000,
  PUBLISH_TIMEOUT_MS = 1000,
  READ_GAP_MS = 5000,
  /* A row that is not renewed is of a VM that has ended or lost the store.  */
  MAX_ROW_AGE_MS = 3 * PUBLISH_GAP_MS,
  KEY_SIZE = 80
};

static const char table[] = "vms";
static const char key_prefix[] = "relay/";

static void
free_peer (void *peer)
{
  struct rl_peer *p = peer;

  g_free (p->vm);
  g_free (p->address);
  g_free (p->secret);
  g_free (p);
}

void
rl_init (struct batch *b)
{
  struct rl_relay *r = &b->relay;

  bs_random_hex (r->secret, (RL_SECRET_SIZE - 1) / 2);
  r->peers = g_ptr_array_new_with_free_func (free_peer);
  r->calls = g_ptr_array_new ();
  r->turn = g_str_hash (b->settings->vm);
  fo_init (b, &b->vm_follower, table, 0, READ_GAP_MS);
  b->vm_follower.on_row = rl_on_row;
  b->vm_follower.on_synced = rl_on_synced;
  fo_start (&b->vm_follower);
}

static guint
find_peer (const struct rl_relay *r, const char *vm)
{
  guint i = 0;

  while (
      i < r->peers->len
      && strcmp (((struct rl_peer *)g_ptr_array_index (r->peers, i))->vm, vm)
             != 0)
    i++;
  return i;
}

static struct rl_peer *
find_or_add (struct rl_relay *r, const char *vm)
{
  guint i = find_peer (r, vm);
  struct rl_peer *p;

  if (i < r->peers->len)
    return g_ptr_array_index (r->peers, i);
  p = g_new0 (struct rl_peer, 1);
  p->vm = g_strdup (vm);
  g_ptr_array_add (r->peers, p);
  return p;
}

static void
set_peer (struct batch *b, const char *vm, const struct po_row *row,
          int generation)
{
  json_t *o = json_loads (row->value, 0, NULL);
  const char *address = json_string_value (json_object_get (o, "address"));
  const char *secret = json_string_value (json_object_get (o, "secret"));
  struct rl_peer *p;

  if (!address || !secret || strlen (secret) != RL_SECRET_SIZE - 1)
    {
      ba_log_unreadable_row (row->table, row->key);
      json_decref (o);
      return;
    }
  p = find_or_add (&b->relay, vm);
  g_free (p->address);
  g_free (p->secret);
  p->address = g_strdup (address);
  p->secret = g_strdup (secret);
  p->at_ms = json_integer_value (json_object_get (o, "at"));
  p->generation = generation;
  json_decref (o);
}

void
rl_on_row (struct batch *b, const struct po_row *row, int generation)
{
  const char *vm = row->key + sizeof key_prefix - 1;
  guint i;

  if (!g_str_has_prefix (row->key, key_prefix)
      || !strcmp (vm, b->settings->vm))
    return;
  if (!row->deleted)
    {
      set_peer (b, vm, row, generation);
      return;
    }
  i = find_peer (&b->relay, vm);
  if (i < b->relay.peers->len)
    g_ptr_array_remove_index (b->relay.peers, i);
}

void
rl_on_synced (struct batch *b, int generation)
{
  GPtrArray *peers = b->relay.peers;

  for (guint i = peers->len; i-- > 0;)
    if (((struct rl_peer *)g_ptr_array_index (peers, i))->generation
        != generation)
      g_ptr_array_remove_index (peers, i);
}

/* Returns the store's clock when the rows were last read.  Their age is
   measured then, as no row is renewed for a VM that has lost the store.  */
static int64_t
read_at_ms (const struct batch *b)
{
  return b->store_clock_ms + b->vm_follower.fresh_ms - b->store_clock_at_ms;
}

struct rl_peer *
rl_pick (struct batch *b, const char *after)
{
  const struct rl_relay *r = &b->relay;
  int64_t oldest_ms = read_at_ms (b) - MAX_ROW_AGE_MS;

  for (guint i = 0; i < r->peers->len; i++)
    {
      struct rl_peer *p
          = g_ptr_array_index (r->peers, (r->turn + i) % r->peers->len);

      if (p->at_ms >= oldest_ms && p->avoid_until_ms <= b->now_ms
          && !(after && !strcmp (p->vm, after)))
        return p;
    }
  return NULL;
}

static void
publish (struct batch *b)
{
  struct rl_relay *r = &b->relay;
  struct ba_store_call *call = ba_new_store_call (b, BA_PUBLISH);
  json_t *o = json_pack ("{s:s,s:s,s:I}", "address", b->settings->relay_listen,
                         "secret", r->secret, "at",
                         (json_int_t)ba_store_clock_now_ms (b));
  char *value = json_dumps (o, JSON_COMPACT), key[KEY_SIZE];
  struct po_entry e
      = { .kind = PO_PUT, .table = table, .key = key, .value = value };

  g_strlcpy (key, key_prefix, sizeof key);
  g_strlcat (key, b->settings->vm, sizeof key);
  r->publish_in_flight = 1;
  r->publish_ms = b->now_ms + PUBLISH_RETRY_MS;
  if (po_write (&b->entry_port, &e, 1, PUBLISH_TIMEOUT_MS, ba_on_store_reply,
                call))
    {
      g_free (call);
      r->publish_in_flight = 0;
    }
  free (value);
  json_decref (o);
}

void
rl_on_publish_reply (struct batch *b, const struct po_rows *rows)
{
  b->relay.publish_in_flight = 0;
  b->relay.publish_ms
      = b->now_ms
        + (rows->result == PO_DONE ? PUBLISH_GAP_MS : PUBLISH_RETRY_MS);
}

void
rl_tick (struct batch *b)
{
  struct rl_relay *r = &b->relay;

  if (!r->peers || b->store_down)
    return;
  fo_tick (&b->vm_follower);
  if (!r->publish_in_flight && b->now_ms >= r->publish_ms && b->store_clock_ms
      && !b->stopping_at_ms && b->access.path[AC_WRITES].state == AC_AVAILABLE)
    publish (b);
}
