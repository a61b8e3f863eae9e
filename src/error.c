#include "error.h"

/* Returns a constant English description of an error number, or "unknown
   error". */
const char *
Gv_StrError(int err)
{
    switch (err) {
    case GV_OK:
        return "success";
    case GV_EINVAL:
        return "invalid input";
    case GV_ENOMEM:
        return "out of memory";
    case GV_ETOOBIG:
        return "input too large";
    case GV_EAGAIN:
        return "try again";
    case GV_ETIMEDOUT:
        return "timed out";
    case GV_ECONN:
        return "connection failed";
    case GV_ENOENT:
        return "not found";
    case GV_EEXIST:
        return "already exists";
    case GV_EFULL:
        return "full";
    case GV_ESTALE:
        return "out of date";
    case GV_EREFUSED:
        return "refused";
    case GV_EGONE:
        return "no longer retained";
    case GV_EIO:
        return "input or output error";
    case GV_ESTOPPED:
        return "shutting down";
    default:
        return "unknown error";
    }
}
