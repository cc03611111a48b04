/** Timeouts and limits of planned stops. */

/** Time before the end of a planned stop at which callers without an answer are refused: some ticks, and the way to the connection. */
export const lastAnswerMs = 100;

/** Answers in one class whose times are remembered. */
export const maxAnswerTimeCount = 32;

/** Streams in one class whose times are remembered for each replica. */
export const maxReplicaAnswerTimeCount = 8;

/** Streams of a replica below which its times are taken for those of its service: of many replicas, one seems fast by chance. */
export const minReplicaAnswerTimeCount = 5;

/** Part of the remembered answers that would have ended in the time that is left, for an answer to be let in that would be lost. */
export const nearlyAll = 0.95;

/** The same for streams that their callers can take up elsewhere: a refused caller may meet another router that stops. */
export const half = 0.5;

/** Delay that an answer may meet and still end before the stop; after a longer one its caller goes on elsewhere, or is told that there is none. */
export const delayMarginMs = 300;

/** The same for a stream that cannot go on elsewhere: a second's silence of its replica. */
export const silenceMarginMs = 1000;

/** The same for streams that come after the notice of the stop: they are few, and their callers can reach other routers at once. */
export const lateMarginMs = 3000;

/** Shortest stop with whole margins; those of shorter ones are smaller in proportion. */
export const wholeMarginStopMs = 7400;
