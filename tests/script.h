#ifndef GV_SCRIPT_H
#define GV_SCRIPT_H

/* A scripted run: each line of standard input is a verb with words after it;
   a verb prints what happened. Verb files register themselves. */
typedef struct gv_verb_s {
    const char *name;
    void (*run)(int argc, char **argv); /* argv[0] is the verb */
    struct gv_verb_s *next;
} gv_verb_t;

void GvScript_Add(gv_verb_t *v);
const char *GvScript_Option(int argc, char **argv, const char *name,
                            const char *otherwise);
int GvScript_Index(const char *word, const char *const *names);
/* The position of a word in a list of names; it must be there. */
#define INDEX(word_, ...)                                                     \
    GvScript_Index(word_, (const char *const[]){__VA_ARGS__, NULL})
/* For use in a verb: the word at position i, or an empty one; the number
   there, or 0; the integer in the word "name=value", or the one given. */
#define ARG(i_) ((i_) < argc ? GvStr_C(argv[i_]) : GV_STR(""))
#define NUM(i_) ((i_) < argc ? g_ascii_strtoull(argv[i_], NULL, 0) : 0)
#define OPT(name_, otherwise_)                                                \
    atoi(GvScript_Option(argc, argv, name_, #otherwise_))
/* The ledger that the ledger verbs build; NULL before the first record. */
const struct gv_ledger_s *GvScript_Ledger(void);

/* Adds one more name for the verb function fn. */
#define GV_VERB_NAME(name_, id_, fn)                                          \
    static gv_verb_t id_##_verb = {.name = name_, .run = fn};                 \
    __attribute__((constructor)) static void id_##_register(void)             \
    {                                                                         \
        GvScript_Add(&id_##_verb);                                            \
    }                                                                         \
    struct gv_verb_s

/* Begins the definition of a verb's function, with argc and argv. */
#define GV_VERB(name_, fn)                                                    \
    static void fn(int argc, char **argv);                                    \
    GV_VERB_NAME(name_, fn, fn);                                              \
    static void fn(int argc __attribute__((unused)),                          \
                   char **argv __attribute__((unused)))

#endif
