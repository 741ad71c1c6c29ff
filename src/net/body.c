#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "net/body.h"
#include "skr/base.h"

enum
{
  MAX_HEAP_BYTES = 32 * 1024 /* larger buffers are mapped */
};

size_t
bd_capacity_for (const struct bd_body *b, size_t size, size_t first,
                 size_t max)
{
  size_t capacity = b->capacity ? b->capacity : first;

  while (capacity < size)
    capacity *= 2;
  return capacity > max && size <= max ? max : capacity;
}

static int
is_mapped (const struct bd_body *b)
{
  return b->capacity > MAX_HEAP_BYTES;
}

static int
map (struct bd_body *b, size_t capacity)
{
  void *data = is_mapped (b)
                   ? mremap (b->data, b->capacity, capacity, MREMAP_MAYMOVE)
                   : mmap (NULL, capacity, PROT_READ | PROT_WRITE,
                           MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

  if (data == MAP_FAILED)
    return BS_ENOMEM;
  if (!is_mapped (b) && b->capacity)
    memcpy (data, b->data, b->capacity);
  if (!is_mapped (b))
    free (b->data);
  *b = (struct bd_body){ data, capacity };
  return BS_OK;
}

int
bd_resize (struct bd_body *b, size_t capacity)
{
  char *data;

  if (capacity > MAX_HEAP_BYTES)
    return map (b, capacity);
  data = realloc (b->data, capacity);
  if (!data)
    return BS_ENOMEM;
  *b = (struct bd_body){ data, capacity };
  return BS_OK;
}

void
bd_fini (struct bd_body *b)
{
  if (is_mapped (b))
    munmap (b->data, b->capacity);
  else
    free (b->data);
  *b = (struct bd_body){ 0 };
}
