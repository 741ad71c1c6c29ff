/* The command "skr crash PROGRAM FILE...", which names the functions and lines
   of the frames in the crashed events of logs.  */
#include <elfutils/libdwfl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "skr/events.h"

enum
{
  LINE_SIZE = 16384, /* bytes, far above the length of a log line */
  BUILD_ID_SIZE = 64 /* bytes of its digits with the NUL */
};

/* A program with its debug information.  */
struct program
{
  Dwfl *dwfl;
  Dwfl_Module *module;
  Dwarf_Addr bias; /* of its addresses here */
  char build_id[BUILD_ID_SIZE];
};

static const Dwfl_Callbacks callbacks
    = { .find_elf = dwfl_build_id_find_elf,
        .find_debuginfo = dwfl_standard_find_debuginfo };

static void
read_build_id (struct program *p)
{
  const unsigned char *bits = NULL;
  GElf_Addr address;
  int n = dwfl_module_build_id (p->module, &bits, &address);

  for (int i = 0; i < n && 2 * i + 2 < BUILD_ID_SIZE; i++)
    snprintf (p->build_id + (size_t)i * 2, 3, "%02x", bits[i]);
}

/* Returns 0, or -1 if PATH is no program.  */
static int
open_program (struct program *p, const char *path)
{
  memset (p, 0, sizeof *p);
  p->dwfl = dwfl_begin (&callbacks);
  if (!p->dwfl)
    return -1;
  p->module = dwfl_report_offline (p->dwfl, path, path, -1);
  dwfl_report_end (p->dwfl, NULL, NULL);
  if (!p->module || !dwfl_module_getelf (p->module, &p->bias))
    return -1;
  read_build_id (p);
  return 0;
}

static void
print_frame (const struct program *p, const char *frame)
{
  guint64 offset = g_ascii_strtoull (frame, NULL, 16);
  Dwarf_Addr address = offset + p->bias;
  const char *name, *file = NULL;
  Dwfl_Line *line;
  int number = 0;

  if (!offset)
    {
      printf ("  %s\n", frame);
      return;
    }
  name = dwfl_module_addrname (p->module, address);
  line = dwfl_module_getsrc (p->module, address);
  if (line)
    file = dwfl_lineinfo (line, NULL, &number, NULL, NULL, NULL);
  printf ("  %s %s %s:%d\n", frame, name ? name : "?", file ? file : "?",
          number);
}

static const char *
text_of (const json_t *event, const char *name)
{
  const char *text = json_string_value (json_object_get (event, name));

  return text ? text : "";
}

static void
print_event (const struct program *p, const char *path, const json_t *event)
{
  char **frames = g_strsplit (text_of (event, "frames"), " ", -1);

  printf ("%s: %s, signal %d at %s, term %lld", path,
          text_of (event, "program"),
          (int)json_integer_value (json_object_get (event, "signal")),
          text_of (event, "address"),
          (long long)json_integer_value (json_object_get (event, "term")));
  if (*text_of (event, "id"))
    printf (", job %s", text_of (event, "id"));
  printf ("\n");
  if (strcmp (text_of (event, "build"), p->build_id) != 0)
    printf ("  of another build: %s\n", text_of (event, "build"));
  else
    for (int i = 0; frames[i]; i++)
      print_frame (p, frames[i]);
  g_strfreev (frames);
}

/* Returns the number of crashed events in the log PATH, or -1 if it can't be
   opened.  */
static int
print_log (const struct program *p, const char *path)
{
  FILE *file = strcmp (path, "-") != 0 ? fopen (path, "r") : stdin;
  char text[LINE_SIZE];
  int found = 0;

  if (!file)
    {
      fprintf (stderr, "skr: %s: cannot open the file\n", path);
      return -1;
    }
  while (fgets (text, sizeof text, file))
    {
      const char *begin = strchr (text, '{');
      json_t *event = begin && strstr (text, "crashed")
                          ? json_loads (begin, 0, NULL)
                          : NULL;

      if (json_integer_value (json_object_get (event, "event")) == LG_CRASHED)
        {
          print_event (p, path, event);
          found++;
        }
      json_decref (event);
    }
  if (file != stdin)
    fclose (file);
  return found;
}

int
sk_crash (struct sk_session *s, int argc, const char **argv)
{
  struct program program;
  int found = 0, n = 0;

  (void)s;
  if (argc < 3)
    {
      fprintf (stderr, "usage: skr crash PROGRAM FILE...\n");
      return SK_USAGE;
    }
  if (open_program (&program, argv[1]))
    {
      fprintf (stderr, "skr: %s: not a program: %s\n", argv[1],
               dwfl_errmsg (-1));
      dwfl_end (program.dwfl);
      return SK_USAGE;
    }
  for (int i = 2; i < argc && n >= 0; i++)
    {
      n = print_log (&program, argv[i]);
      found += n > 0 ? n : 0;
    }
  dwfl_end (program.dwfl);
  if (n < 0)
    return SK_USAGE;
  return found ? SK_OK : SK_NOT_FOUND;
}
