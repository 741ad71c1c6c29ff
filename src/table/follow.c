/* The VM list as one daemon has it: read, told, and told on.  */
#include <string.h>

#include "table/vms_impl.h"

void
vl_init (struct vl_follow *f, const char *vm, const char *domain, int may_tell,
         int64_t incarnation)
{
  *f = (struct vl_follow){ .vm = vm,
                           .domain = domain,
                           .may_tell = may_tell,
                           .incarnation = incarnation,
                           .begun_ms = -1,
                           .read_ms = -1,
                           .word_ms = -1,
                           .drift_ms = -1 };
  vl_list_init (&f->list);
  f->recent = g_array_new (FALSE, FALSE, sizeof (struct vl_change));
}

void
vl_fini (struct vl_follow *f)
{
  g_array_free (f->recent, TRUE);
  vl_list_fini (&f->list);
}

static void
note (struct vl_follow *f, int64_t now_ms, const struct pr_vm *vm)
{
  struct vl_change change = { *vm, now_ms + VL_REPEAT_MS };

  for (guint i = f->recent->len; i-- > 0;)
    {
      const struct vl_change *c
          = &g_array_index (f->recent, struct vl_change, i);

      if (c->until_ms <= now_ms || !strcmp (c->vm.id, vm->id))
        g_array_remove_index_fast (f->recent, i);
    }
  if (f->recent->len == VL_RECENT)
    g_array_set_size (f->recent, 0);
  g_array_append_val (f->recent, change);
}

static int
set (struct vl_follow *f, int64_t now_ms, const struct pr_vm *vm)
{
  if (!vl_list_set (&f->list, vm))
    return 0;
  if (f->read_ms >= 0)
    note (f, now_ms, vm);
  return 1;
}

/* Takes out the lines that SEEN, a set of ids, lacks.  */
static int
take_out (struct vl_follow *f, int64_t now_ms, GHashTable *seen)
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
      changed += set (f, now_ms, vm);
    }
  g_ptr_array_free (gone, TRUE);
  return changed;
}

int
vl_end (struct vl_follow *f, int64_t now_ms, const json_t *vms)
{
  GHashTable *seen;
  const json_t *line;
  int changed = 0;
  size_t i;

  f->reading = 0;
  if (!json_is_array (vms))
    {
      f->telling = 0;
      return 0;
    }
  /* Others have heard of something newer since.  */
  if (now_ms - f->begun_ms >= VL_SILENT_MS)
    f->telling = 0;
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_array_foreach (vms, i, line)
  {
    struct pr_vm vm;

    if (!vl_read_line (&vm, line))
      continue;
    changed += set (f, now_ms, &vm);
    g_hash_table_add (seen, g_strdup (vm.id));
  }
  changed += take_out (f, now_ms, seen);
  g_hash_table_destroy (seen);
  f->serial++;
  f->read_ms = now_ms;
  f->drift_ms = -1;
  f->whole_ms
      = now_ms + VL_WHOLE_MS * 8 / 10 + vl_spread (f, VL_WHOLE_MS * 4 / 10);
  return changed != 0;
}

int
vl_tell (const struct vl_follow *f, int64_t now_ms, guint *at,
         struct pr_vms *out)
{
  if (!f->telling || *at > f->recent->len)
    return 0;
  memset (out, 0, sizeof *out);
  g_strlcpy (out->reader, f->vm, sizeof out->reader);
  g_strlcpy (out->domain, f->domain, sizeof out->domain);
  out->incarnation = f->incarnation;
  out->serial = f->serial;
  out->digest = (int64_t)f->list.digest;
  while (*at < f->recent->len && out->count < PR_MAX_VMS)
    {
      const struct vl_change *c
          = &g_array_index (f->recent, struct vl_change, *at);

      if (now_ms < c->until_ms)
        out->vm[out->count++] = c->vm;
      ++*at;
    }
  out->more = *at < f->recent->len;
  if (!out->more)
    ++*at; /* none after this */
  return 1;
}

/* Two may tell for a moment: only one is followed, and the same one by
   all.  What comes late, or from one that is gone, is no news.  */
static int
is_followed (const struct vl_follow *f, int64_t now_ms,
             const struct vl_peer *p, const struct pr_vms *word)
{
  if (now_ms - p->heard_ms >= VL_DEAD_MS
      || (word->incarnation == p->incarnation && word->serial < p->serial))
    return 0;
  if (f->may_tell && vl_hears_no_reader (f, now_ms)
      && !vl_goes_before (f, p->vm, f->vm))
    return 0;
  return f->word_ms < 0 || now_ms - f->word_ms >= VL_SILENT_MS
         || !strcmp (p->vm, f->reader) || vl_goes_before (f, p->vm, f->reader);
}

int
vl_told (struct vl_follow *f, int64_t now_ms, const struct pr_vms *word)
{
  struct vl_peer *p = vl_find_peer (f, word->reader);
  int changed = 0;

  if (f->read_ms < 0 || !p || !is_followed (f, now_ms, p, word))
    return 0;
  g_strlcpy (f->reader, word->reader, sizeof f->reader);
  p->incarnation = word->incarnation;
  p->serial = word->serial;
  f->word_ms = now_ms;
  for (int i = 0; i < word->count; i++)
    if (*word->vm[i].id)
      changed += set (f, now_ms, &word->vm[i]);
  if (word->more)
    return changed != 0;
  if ((int64_t)f->list.digest == word->digest)
    f->drift_ms = -1;
  else if (f->drift_ms < 0)
    f->drift_ms = now_ms;
  return changed != 0;
}

int
vl_is_fresh (const struct vl_follow *f, int64_t now_ms)
{
  if (f->read_ms < 0 || f->drift_ms >= 0)
    return 0;
  return now_ms - f->read_ms < VL_DEAD_MS
         || (f->word_ms >= 0 && now_ms - f->word_ms < VL_DEAD_MS);
}
