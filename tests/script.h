#ifndef GV_SCRIPT_H
#define GV_SCRIPT_H

/* Interpreter of test scripts. Each line of standard input is a verb with its
   arguments; a verb prints its results. The files script_*.c define the verbs
   and register them before main. */
typedef struct gv_verb_s {
    const char *name;
    void (*run)(int argc, char **argv); /* argv[0] is the verb */
    struct gv_verb_s *next;
} gv_verb_t;

void GvScript_Add(gv_verb_t *v);
const char *GvScript_Option(int argc, char **argv, const char *name,
                            const char *default_value);
int GvScript_Index(const char *word, const char *const *names);
/* Returns the index of a word among the names given, where it must be. */
#define INDEX(word_, ...)                                                     \
    GvScript_Index(word_, (const char *const[]){__VA_ARGS__, NULL})
/* For use in a verb. ARG: argument i, or an empty string. NUM: argument i as a
   number, or 0. OPT: the integer of the argument "name=value", or the default
   given. */
#define ARG(i_) ((i_) < argc ? GvStr_C(argv[i_]) : GV_STR(""))
#define NUM(i_) ((i_) < argc ? g_ascii_strtoull(argv[i_], NULL, 0) : 0)
#define OPT(name_, default_)                                                  \
    atoi(GvScript_Option(argc, argv, name_, #default_))
/* Returns the ledger to which the ledger verbs append; NULL before the first
   record. */
const struct gv_ledger_s *GvScript_Ledger(void);
/* Returns the scheduler of the verbs sched_*; NULL before sched_new. */
struct gv_sched_s *GvScript_Sched(void);

/* Registers a verb with this name, run by the function fn; id_ is a unique
   identifier. */
#define GV_VERB_NAME(name_, id_, fn)                                          \
    static gv_verb_t id_##_verb = {.name = name_, .run = fn};                 \
    __attribute__((constructor)) static void id_##_register(void)             \
    {                                                                         \
        GvScript_Add(&id_##_verb);                                            \
    }                                                                         \
    struct gv_verb_s

/* Begins the definition of the function fn(argc, argv) of a verb and registers
   the verb. */
#define GV_VERB(name_, fn)                                                    \
    static void fn(int argc, char **argv);                                    \
    GV_VERB_NAME(name_, fn, fn);                                              \
    static void fn(int argc __attribute__((unused)),                          \
                   char **argv __attribute__((unused)))

#endif
