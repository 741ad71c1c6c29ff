/* Table from which runs of contiguous elements are allocated and released.
   Elements move when it grows, but their indices stay valid.  */
#ifndef DECIDE_POOL_H
#define DECIDE_POOL_H

#include <stddef.h>
#include <stdint.h>

enum
{
  PL_ORDERS = 14 /* the longest run has 2^(PL_ORDERS - 1) elements */
};

struct pl_pool
{
  char *v;
  uint32_t size; /* bytes of an element, at least 4 */
  uint32_t n, cap;
  uint32_t free[PL_ORDERS]; /* first free run of each order, plus 1; 0: none */
};

void pl_init (struct pl_pool *p, size_t size);
void pl_fini (struct pl_pool *p);
/* Allocates a zeroed run of COUNT elements.  Returns UINT32_MAX if memory is
   exhausted.  */
uint32_t pl_alloc (struct pl_pool *p, uint32_t count);
void pl_release (struct pl_pool *p, uint32_t first, uint32_t count);
size_t pl_bytes (const struct pl_pool *p);

static inline void *
pl_at (const struct pl_pool *p, uint32_t i)
{
  return p->v + (size_t)i * p->size;
}

#endif
