/* Fuzzes the trace reader with arbitrary text.  */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "skr/base.h"
#include "skr/trace.h"

/* The names are defined by libFuzzer.  NOLINTBEGIN */
int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
/* NOLINTEND */

enum
{
  MAX_SIZE = 64 << 10 /* bytes */
};

int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void)argc;
  (void)argv;
  bs_init ();
  return 0;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct tr_tables tables;
  struct tr_reader reader;
  struct tr_event event;
  FILE *file;
  int end;

  if (size < 1 || size > MAX_SIZE)
    return 0;
  file = fmemopen ((void *)(uintptr_t)data, size, "r");
  if (!file || tr_tables_init (&tables) != TR_OK)
    abort ();
  tr_reader_init (&reader, file, &tables);
  do
    end = tr_read (&reader, &event);
  while (end == 1 || end == TR_EINVAL);
  tr_reader_fini (&reader);
  tr_tables_fini (&tables);
  fclose (file);
  return 0;
}
