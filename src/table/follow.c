/* One daemon's copy of the VM list: its reads, and the messages with changes
   that it sends and applies.  */
#include <string.h>

#include "table/vms_impl.h"

void
vl_init (struct vl_follow *f, const char *vm, const char *domain, int may_tell,
         int64_t incarnation)
{
  *f = (struct vl_follow){ .vm = vm,
                           .domain = domain,
                           .may_publish = may_tell,
                           .incarnation = incarnation,
                           .read_started_ms = -1,
                           .read_ms = -1,
                           .reader_heard_ms = -1,
                           .diverged_since_ms = -1 };
  vl_list_init (&f->list);
  f->changes = g_array_new (FALSE, FALSE, sizeof (struct vl_change));
}

void
vl_fini (struct vl_follow *f)
{
  g_array_free (f->changes, TRUE);
  vl_list_fini (&f->list);
}

static void
remember_change (struct vl_follow *f, int64_t now_ms, const struct pr_vm *vm)
{
  struct vl_change change = { *vm, now_ms + VL_REPEAT_CHANGE_MS };

  for (guint i = f->changes->len; i-- > 0;)
    {
      const struct vl_change *c
          = &g_array_index (f->changes, struct vl_change, i);

      if (c->until_ms <= now_ms || !strcmp (c->vm.id, vm->id))
        g_array_remove_index_fast (f->changes, i);
    }
  if (f->changes->len == VL_MAX_CHANGES)
    g_array_set_size (f->changes, 0);
  g_array_append_val (f->changes, change);
}

static int
set_line (struct vl_follow *f, int64_t now_ms, const struct pr_vm *vm)
{
  if (!vl_list_set (&f->list, vm))
    return 0;
  if (f->read_ms >= 0)
    remember_change (f, now_ms, vm);
  return 1;
}

/* Removes the lines whose ids are not in SEEN, a set of ids.  */
static int
remove_missing (struct vl_follow *f, int64_t now_ms, GHashTable *seen)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (g_free);
  int changed = 0;

  for (GTreeNode *n = g_tree_node_first (f->list.line); n;
       n = g_tree_node_next (n))
    if (!g_hash_table_contains (seen, g_tree_node_key (n)))
      g_ptr_array_add (
          gone, g_memdup2 (g_tree_node_value (n), sizeof (struct pr_vm)));
  for (guint i = 0; i < gone->len; i++)
    {
      struct pr_vm *vm = g_ptr_array_index (gone, i);

      vm->state = PR_VM_GONE;
      changed += set_line (f, now_ms, vm);
    }
  g_ptr_array_free (gone, TRUE);
  return changed;
}

int
vl_finish_read (struct vl_follow *f, int64_t now_ms, const json_t *vms)
{
  GHashTable *seen;
  const json_t *line;
  int changed = 0;
  size_t i;

  f->reading = 0;
  if (!json_is_array (vms))
    {
      f->publishing = 0;
      return 0;
    }
  /* A read that took this long is outdated: by now another daemon may have
     sent newer changes.  */
  if (now_ms - f->read_started_ms >= VL_READER_TIMEOUT_MS)
    f->publishing = 0;
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_array_foreach (vms, i, line)
  {
    struct pr_vm vm;

    if (!vl_read_line (&vm, line))
      continue;
    changed += set_line (f, now_ms, &vm);
    g_hash_table_add (seen, g_strdup (vm.id));
  }
  changed += remove_missing (f, now_ms, seen);
  g_hash_table_destroy (seen);
  f->serial++;
  f->read_ms = now_ms;
  f->diverged_since_ms = -1;
  f->forced_read_ms = now_ms + VL_FORCED_READ_MS * 8 / 10
                      + vl_jitter (f, VL_FORCED_READ_MS * 4 / 10);
  return changed != 0;
}

int
vl_next_message (const struct vl_follow *f, int64_t now_ms, guint *at,
                 struct pr_vms *out)
{
  if (!f->publishing || *at > f->changes->len)
    return 0;
  memset (out, 0, sizeof *out);
  g_strlcpy (out->reader, f->vm, sizeof out->reader);
  g_strlcpy (out->domain, f->domain, sizeof out->domain);
  out->incarnation = f->incarnation;
  out->serial = f->serial;
  out->digest = (int64_t)f->list.digest;
  while (*at < f->changes->len && out->count < PR_MAX_VMS)
    {
      const struct vl_change *c
          = &g_array_index (f->changes, struct vl_change, *at);

      if (now_ms < c->until_ms)
        out->vm[out->count++] = c->vm;
      ++*at;
    }
  out->more = *at < f->changes->len;
  if (!out->more)
    ++*at; /* marks that the last message was filled */
  return 1;
}

/* True when MESSAGE of peer P is to be applied.  For a short time two daemons
   may both send changes; all others then follow the same one of them.  A
   message of a silent peer, or one older than the last that was applied, is
   ignored.  */
static int
is_followed (const struct vl_follow *f, int64_t now_ms,
             const struct vl_peer *p, const struct pr_vms *message)
{
  if (now_ms - p->heard_ms >= VL_PEER_TIMEOUT_MS
      || (message->incarnation == p->incarnation
          && message->serial < p->serial))
    return 0;
  if (f->may_publish && vl_reader_is_silent (f, now_ms)
      && !vl_precedes (f, p->vm, f->vm))
    return 0;
  return f->reader_heard_ms < 0
         || now_ms - f->reader_heard_ms >= VL_READER_TIMEOUT_MS
         || !strcmp (p->vm, f->reader) || vl_precedes (f, p->vm, f->reader);
}

int
vl_on_message (struct vl_follow *f, int64_t now_ms,
               const struct pr_vms *message)
{
  struct vl_peer *p = vl_find_peer (f, message->reader);
  int changed = 0;

  if (f->read_ms < 0 || !p || !is_followed (f, now_ms, p, message))
    return 0;
  g_strlcpy (f->reader, message->reader, sizeof f->reader);
  p->incarnation = message->incarnation;
  p->serial = message->serial;
  f->reader_heard_ms = now_ms;
  for (int i = 0; i < message->count; i++)
    if (*message->vm[i].id)
      changed += set_line (f, now_ms, &message->vm[i]);
  if (message->more)
    return changed != 0;
  if ((int64_t)f->list.digest == message->digest)
    f->diverged_since_ms = -1;
  else if (f->diverged_since_ms < 0)
    f->diverged_since_ms = now_ms;
  return changed != 0;
}

int
vl_is_fresh (const struct vl_follow *f, int64_t now_ms)
{
  if (f->read_ms < 0 || f->diverged_since_ms >= 0)
    return 0;
  return now_ms - f->read_ms < VL_PEER_TIMEOUT_MS
         || (f->reader_heard_ms >= 0
             && now_ms - f->reader_heard_ms < VL_PEER_TIMEOUT_MS);
}
