/* Binary heap of handles.  The callback MOVED reports each new position of a
   handle, so that the caller can remove it from the middle.  */
#ifndef DECIDE_HEAP_H
#define DECIDE_HEAP_H

#include <stdbool.h>
#include <stdint.h>

struct hp_heap
{
  uint32_t *v;
  uint32_t n, cap;
};

struct hp_order
{
  bool (*before) (const void *arg, uint32_t a, uint32_t b);
  void (*moved) (void *arg, uint32_t a, uint32_t position);
  void *arg;
};

int hp_push (struct hp_heap *h, const struct hp_order *o, uint32_t a);
void hp_remove (struct hp_heap *h, const struct hp_order *o,
                uint32_t position);
/* Restores the order after the key of the handle at POSITION changed.  */
void hp_update (struct hp_heap *h, const struct hp_order *o,
                uint32_t position);
void hp_fini (struct hp_heap *h);

#endif
