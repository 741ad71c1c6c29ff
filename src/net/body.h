/* The buffer of a request's body.  */
#ifndef NET_BODY_H
#define NET_BODY_H

#include <stddef.h>

/* All 0 is an empty one.  */
struct bd_body
{
  char *data;
  size_t capacity;
};

/* Returns the capacity for SIZE bytes: twice the present one, at least FIRST,
   as often as needed, and at most MAX if that suffices.  */
size_t bd_capacity_for (const struct bd_body *b, size_t size, size_t first,
                        size_t max);
/* Enlarges B to CAPACITY.  Returns 0 or BS_ENOMEM.  */
int bd_resize (struct bd_body *b, size_t capacity);
/* Frees the memory; a larger buffer is given back to the system at once, as
   another crowd must not find the process larger.  */
void bd_fini (struct bd_body *b);

#endif
