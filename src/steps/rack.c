/* Racks: the workers of each, so that a decision about one rack visits only
   its own workers.  */
#include "steps/state.h"

static void
free_rack (struct sj_cluster *c, struct rack *r)
{
  g_ptr_array_remove (c->rack_list, r);
  g_hash_table_remove (c->racks, r->name);
  g_ptr_array_free (r->workers, TRUE);
  g_free (r->name);
  g_free (r);
}

static struct rack *
find_or_add (struct sj_cluster *c, const char *name)
{
  struct rack *r = rk_find (c, name);

  if (r)
    return r;
  r = g_new0 (struct rack, 1);
  r->name = g_strdup (name);
  r->workers = g_ptr_array_new ();
  g_hash_table_insert (c->racks, r->name, r);
  g_ptr_array_add (c->rack_list, r);
  return r;
}

void
rk_init (struct sj_cluster *c)
{
  c->racks = g_hash_table_new (g_str_hash, g_str_equal);
  c->rack_list = g_ptr_array_new ();
}

void
rk_fini (struct sj_cluster *c)
{
  while (c->rack_list->len)
    free_rack (c, g_ptr_array_index (c->rack_list, 0));
  g_ptr_array_free (c->rack_list, TRUE);
  g_hash_table_destroy (c->racks);
}

struct rack *
rk_find (const struct sj_cluster *c, const char *name)
{
  return name ? g_hash_table_lookup (c->racks, name) : NULL;
}

void
rk_move (struct sj_cluster *c, struct worker *w, const char *name)
{
  struct rack *from = w->rack;

  if (!g_strcmp0 (from ? from->name : NULL, name))
    return;
  w->rack = name ? find_or_add (c, name) : NULL;
  if (w->rack)
    g_ptr_array_add (w->rack->workers, w);
  if (!from)
    return;
  g_ptr_array_remove (from->workers, w);
  if (!from->workers->len)
    free_rack (c, from);
}

const GPtrArray *
rk_workers (const struct sj_cluster *c, const struct rack *r)
{
  return r ? r->workers : c->worker_list;
}
