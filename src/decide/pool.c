#include "pool.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PL_INITIAL_CAPACITY = 64 /* elements */
};

static int
order_of (uint32_t count)
{
  int order = 0;

  while ((1U << order) < count)
    order++;
  return order;
}

void
pl_init (struct pl_pool *p, size_t size)
{
  *p = (struct pl_pool){ .size = (uint32_t)size };
}

void
pl_fini (struct pl_pool *p)
{
  free (p->v);
  *p = (struct pl_pool){ 0 };
}

static int
grow (struct pl_pool *p, uint32_t need)
{
  uint32_t cap = p->cap ? p->cap : PL_INITIAL_CAPACITY;
  char *v;

  while (cap < need)
    cap *= 2;
  v = realloc (p->v, (size_t)cap * p->size);
  if (!v)
    return -1;
  p->v = v;
  p->cap = cap;
  return 0;
}

uint32_t
pl_alloc (struct pl_pool *p, uint32_t count)
{
  int order = order_of (count);
  uint32_t length = 1U << order;
  uint32_t first;

  if (p->free[order])
    {
      first = p->free[order] - 1;
      memcpy (&p->free[order], pl_at (p, first), sizeof (uint32_t));
    }
  else
    {
      if (p->n + length > p->cap && grow (p, p->n + length))
        return UINT32_MAX;
      first = p->n;
      p->n += length;
    }
  memset (pl_at (p, first), 0, (size_t)length * p->size);
  return first;
}

void
pl_release (struct pl_pool *p, uint32_t first, uint32_t count)
{
  int order = order_of (count);

  memcpy (pl_at (p, first), &p->free[order], sizeof (uint32_t));
  p->free[order] = first + 1;
}

size_t
pl_bytes (const struct pl_pool *p)
{
  return (size_t)p->cap * p->size;
}
