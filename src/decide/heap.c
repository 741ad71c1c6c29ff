#include "heap.h"

#include <stdlib.h>

enum
{
  HP_INITIAL_CAPACITY = 4 /* elements */
};

static void
set (struct hp_heap *h, const struct hp_order *o, uint32_t at, uint32_t a)
{
  h->v[at] = a;
  o->moved (o->arg, a, at);
}

static void
sift_up (struct hp_heap *h, const struct hp_order *o, uint32_t at)
{
  uint32_t a = h->v[at];

  while (at > 0 && o->before (o->arg, a, h->v[(at - 1) / 2]))
    {
      set (h, o, at, h->v[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  set (h, o, at, a);
}

static void
sift_down (struct hp_heap *h, const struct hp_order *o, uint32_t at)
{
  uint32_t a = h->v[at];

  for (;;)
    {
      uint32_t child = 2 * at + 1;

      if (child >= h->n)
        break;
      if (child + 1 < h->n && o->before (o->arg, h->v[child + 1], h->v[child]))
        child++;
      if (!o->before (o->arg, h->v[child], a))
        break;
      set (h, o, at, h->v[child]);
      at = child;
    }
  set (h, o, at, a);
}

int
hp_push (struct hp_heap *h, const struct hp_order *o, uint32_t a)
{
  if (h->n == h->cap)
    {
      uint32_t cap = h->cap ? 2 * h->cap : HP_INITIAL_CAPACITY;
      uint32_t *v = realloc (h->v, cap * sizeof *v);

      if (!v)
        return -1;
      h->v = v;
      h->cap = cap;
    }
  h->v[h->n++] = a;
  sift_up (h, o, h->n - 1);
  return 0;
}

void
hp_update (struct hp_heap *h, const struct hp_order *o, uint32_t position)
{
  uint32_t a = h->v[position];

  sift_up (h, o, position);
  if (h->v[position] == a)
    sift_down (h, o, position);
}

void
hp_remove (struct hp_heap *h, const struct hp_order *o, uint32_t position)
{
  uint32_t last = h->v[--h->n];

  if (position == h->n)
    return;
  h->v[position] = last;
  hp_update (h, o, position);
}

void
hp_fini (struct hp_heap *h)
{
  free (h->v);
  *h = (struct hp_heap){ 0 };
}
