/* Splits guarantees over cells.  Each group goes to the cell with the most
   free accelerators in which all guarantees of the cell still fit
   together.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "config/config.h"

struct cell
{
  const char *name;
  struct dc_fleet_worker *worker;
  int worker_count;
  int64_t free_accelerators;      /* not yet assigned to a group */
  struct dc_guarantee *guarantee; /* one for each account, in list order */
};

struct split
{
  struct cell cell[CF_MAX_CELLS];
  int cell_count, accounts;
};

static struct cell *
find_cell (struct split *s, const char *name, int accounts)
{
  struct cell *c;
  int at = 0;

  while (at < s->cell_count && strcmp (s->cell[at].name, name) < 0)
    at++;
  if (at < s->cell_count && !strcmp (s->cell[at].name, name))
    return &s->cell[at];
  if (s->cell_count == CF_MAX_CELLS)
    return NULL;
  memmove (&s->cell[at + 1], &s->cell[at],
           (size_t)(s->cell_count - at) * sizeof s->cell[0]);
  s->cell_count++;
  c = &s->cell[at];
  *c = (struct cell){ .name = name };
  c->guarantee = g_new0 (struct dc_guarantee, (gsize)accounts + 1);
  for (int i = 0; i < accounts; i++)
    c->guarantee[i].account = (uint32_t)i;
  return c;
}

static void
add_worker (struct split *s, const struct cf_worker *w, GHashTable *racks)
{
  struct cell *c = find_cell (s, w->cell, s->accounts);
  gpointer rack;

  if (!c)
    return;
  rack = g_hash_table_lookup (racks, w->rack);
  if (!rack)
    {
      rack = GUINT_TO_POINTER (g_hash_table_size (racks) + 1);
      g_hash_table_insert (racks, (gpointer)w->rack, rack);
    }
  c->worker = g_renew (struct dc_fleet_worker, c->worker, c->worker_count + 1);
  c->worker[c->worker_count++]
      = (struct dc_fleet_worker){ .rack = GPOINTER_TO_UINT (rack) - 1,
                                  .domain = 0,
                                  .accelerators = w->accelerators,
                                  .slots = w->slots };
  c->free_accelerators += w->accelerators;
}

static int
cell_fits (const struct cell *c, int accounts, int32_t spare_workers)
{
  const char *reason;

  return dc_plans_fit (c->worker, c->worker_count, c->guarantee, accounts,
                       spare_workers, &reason)
         == DC_OK;
}

static struct dc_shape *
find_shape (struct dc_guarantee *g, int32_t size)
{
  for (int i = 0; i < g->shapes; i++)
    if (g->shape[i].size == size)
      return &g->shape[i];
  if (g->shapes == DC_MAX_SHAPES)
    return NULL;
  g->shape[g->shapes] = (struct dc_shape){ size, 0 };
  return &g->shape[g->shapes++];
}

/* Assigns one group of SIZE to the cell with the most free accelerators in
   which it fits; returns 0 when there is none.  */
static int
place_group (struct split *s, int account, int32_t size, int32_t spare_workers)
{
  unsigned char tried[CF_MAX_CELLS] = { 0 };

  for (int n = 0; n < s->cell_count; n++)
    {
      struct cell *best = NULL;
      struct dc_shape *shape;

      for (int i = 0; i < s->cell_count; i++)
        if (!tried[i]
            && (!best
                || s->cell[i].free_accelerators > best->free_accelerators))
          best = &s->cell[i];
      tried[best - s->cell] = 1;
      shape = find_shape (&best->guarantee[account], size);
      if (!shape)
        continue;
      shape->count++;
      if (best->free_accelerators >= size
          && cell_fits (best, s->accounts, spare_workers))
        {
          best->free_accelerators -= size;
          return 1;
        }
      if (!--shape->count)
        best->guarantee[account].shapes--;
    }
  return 0;
}

static json_t *
shapes_to_json (const struct dc_guarantee *g)
{
  json_t *list = json_array ();

  for (int i = 0; i < g->shapes; i++)
    json_array_append_new (list,
                           json_pack ("{s:i,s:i}", "size", g->shape[i].size,
                                      "count", g->shape[i].count));
  return list;
}

static json_t *
to_json (struct split *s, const json_t *plans)
{
  json_t *all = json_object ();
  size_t i;
  json_t *e;

  json_array_foreach (plans, i, e)
  {
    json_t *cells = json_object ();

    for (int c = 0; c < s->cell_count; c++)
      if (s->cell[c].guarantee[i].shapes)
        json_object_set_new (cells, s->cell[c].name,
                             shapes_to_json (&s->cell[c].guarantee[i]));
    json_object_set_new (
        all, json_string_value (json_object_get (e, "account")), cells);
  }
  return all;
}

/* A group of SIZE adjacent accelerators to be assigned to a cell.  */
struct group
{
  int account;
  int32_t size;
};

static int
compare_groups (const void *a, const void *b)
{
  const struct group *x = a, *y = b;

  if (x->size != y->size)
    return x->size < y->size ? 1 : -1;
  return (x->account > y->account) - (x->account < y->account);
}

static GArray *
list_groups (const json_t *plans, const json_t *allowances)
{
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (struct group));
  size_t i;
  json_t *e;

  json_array_foreach (plans, i, e)
  {
    const char *plan = json_string_value (json_object_get (e, "plan"));
    const json_t *a = cf_allowance (allowances, plan);
    struct dc_shape shape[DC_MAX_SHAPES];
    int n = cf_read_shapes (json_object_get (a, "guarantee"), shape);

    for (int k = 0; k < n; k++)
      for (int32_t c = 0; c < shape[k].count; c++)
        {
          struct group g = { (int)i, shape[k].size };

          g_array_append_val (groups, g);
        }
  }
  if (groups->len)
    qsort (groups->data, groups->len, sizeof (struct group), compare_groups);
  return groups;
}

static void
free_split (struct split *s)
{
  for (int i = 0; i < s->cell_count; i++)
    {
      g_free (s->cell[i].worker);
      g_free (s->cell[i].guarantee);
    }
  g_free (s);
}

json_t *
cf_make_split (const json_t *plans, const json_t *allowances,
               const struct cf_worker *fleet, int workers,
               int32_t spare_workers, char *reason)
{
  struct split *s = g_new0 (struct split, 1);
  GHashTable *racks = g_hash_table_new (g_str_hash, g_str_equal);
  GArray *groups = list_groups (plans, allowances);
  json_t *result = NULL;
  guint i;

  s->accounts = (int)json_array_size (plans);
  for (int w = 0; w < workers; w++)
    add_worker (s, &fleet[w], racks);
  for (i = 0; i < groups->len; i++)
    {
      struct group *g = &g_array_index (groups, struct group, i);

      if (!place_group (s, g->account, g->size, spare_workers))
        break;
    }
  if (i == groups->len)
    result = to_json (s, plans);
  else
    {
      struct group *g = &g_array_index (groups, struct group, i);
      json_t *e = json_array_get (plans, (size_t)g->account);

      snprintf (reason, CF_REASON_SIZE,
                "a group of %d adjacent accelerators of account \"%s\" fits "
                "in no cell beside all other guarantees",
                g->size, json_string_value (json_object_get (e, "account")));
    }
  g_array_free (groups, TRUE);
  g_hash_table_destroy (racks);
  free_split (s);
  return result;
}
