#include "skr/base.h"

/* Returns the closing quote of the string that begins after P, or the end of
   the text.  */
static const char *
skip_string (const char *p)
{
  while (*p && *p != '"')
    p += *p == '\\' && p[1] ? 2 : 1;
  return p;
}

int
bs_json_tokens (const char *text)
{
  int tokens = 0;

  for (const char *p = text; *p; p++)
    switch (*p)
      {
      case '"':
        p = skip_string (p + 1);
        if (!*p)
          return tokens;
        break;
      case '[':
      case '{':
      case ',':
      case ':':
        tokens++;
        break;
      default:
        break;
      }
  return tokens;
}
