/// @file eventseq.h
/// Order of the events of a stream that one or several answers of targets
/// bring: judges each event against those that its caller has received. Ids
/// increase and need not be consecutive; the step between them is learned from
/// the answers of each model. No I/O.
#ifndef KB_COORDINATION_EVENTSEQ_H
#define KB_COORDINATION_EVENTSEQ_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /// Equal steps in a row after which ids count as evenly spaced.
  ESQ_MIN_EVEN_STEPS = 256,
};

/// Steps between the ids within answers of a model.
typedef struct
{
  uint64_t step;  ///< The last one; zero: none was shown.
  uint32_t shown; ///< Times in a row that it was shown.
} esq_steps_t;

/// What an event, or the end of an answer, is to its stream.
typedef enum
{
  ESQ_NEW,
  ESQ_NO_ID,    ///< New, but the stream can't be continued behind it.
  ESQ_JUMP,     ///< New, further on than the even step of its model.
  ESQ_REPEATED, ///< Sent again by a continuation that began earlier.
  // The answer is unsound.
  ESQ_BACK,     ///< Its id is not above that of the event before it.
  ESQ_GAP,      ///< A continuation begins behind the next event.
  ESQ_UNPLACED, ///< Without an id, where it may be one of those received.
  ESQ_SHORT,    ///< A continuation ends before the events received.
  ESQ_VERDICT_COUNT,
} esq_verdict_t;

/// The events that a caller has received, and the answer that brings more.
typedef struct
{
  uint64_t last_id; ///< Of the newest event with an id; see has_last_id.
  bool has_last_id;
  bool has_relayed;        ///< An event was relayed.
  bool is_last_without_id; ///< The newest event that was relayed has no id.
  // The current answer.
  bool is_continuation; ///< It was asked to go on behind last_id.
  bool is_begun_before; ///< An earlier answer brought an event.
  bool has_new;         ///< It has brought a new event with an id.
  bool has_repeated;    ///< It has repeated an event.
  bool has_answer_id;   ///< It has brought an event with an id.
  uint64_t answer_id;   ///< Of the newest of them.
} esq_stream_t;

void esq_stream_init (esq_stream_t *stream);
/// Begin a stream behind an event that its caller received before.
void esq_stream_init_behind (esq_stream_t *stream, uint64_t last_id);
/// Begin the next answer.
void esq_answer_begin (esq_stream_t *stream);
/// Judge the next event of the answer, and record it unless it is unsound.
/// @param steps  Of the model; steps that the answer shows are recorded.
/// @param id     NULL: the event has none.
esq_verdict_t esq_event_judge (esq_stream_t *stream, esq_steps_t *steps,
                               const uint64_t *id);
/// Judge the end of a whole answer.
/// @return  ESQ_NEW or ESQ_SHORT.
esq_verdict_t esq_end_judge (const esq_stream_t *stream);
/// @return  Whether another answer can continue the stream, or begin it,
///          without repeating or omitting an event.
bool esq_stream_can_continue (const esq_stream_t *stream);
/// @return  Whether an event is to be relayed.
bool esq_verdict_is_new (esq_verdict_t verdict);
/// @return  Whether the answer must not be relayed further.
bool esq_verdict_is_unsound (esq_verdict_t verdict);
/// @return  Name of a verdict, for logs.
const char *esq_verdict_name (esq_verdict_t verdict);

#endif
