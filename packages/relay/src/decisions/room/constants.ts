/** Rates, ages and ratios that the room at an engine is estimated with. */

import { promptQueryEnginesPerZoneCount } from "../constants.js";

/** Prompt tokens that an engine is assumed to read in a millisecond before the first was timed. */
export const assumedTokensPerMs = 8;

/** Lowest rate that is learned: first events that come late for other reasons say little of reading. */
export const minTokensPerMs = assumedTokensPerMs / 2;

/** Prompt tokens of a request that does not state them. */
export const assumedPromptTokens = 8000;

/** Weight of the latest reading time in the learned rate. */
export const readingRateWeight = 0.2;

/** Prompts of fewer tokens are not timed: their time is mostly that of the way. */
export const minTimedPromptTokens = 500;

/** Age of a report's content when it arrives. */
export const reportContentAgeMs = 300;

/** Age up to which a report tells whether an engine has memory for a copy; memory changes slowly. */
export const copyReportMaxAgeMs = 2000;

/** Requests for which an engine must have memory to be given a copy: a run goes before it. */
export const copyRoomRequestCount = 2;

/** Part of the engines known to lack memory for a copy at which those without a recent report are taken to lack it too. */
export const memoryShortageRatio = 0.5;

/** Engines that are considered as the holder of a copy; callers that reconnect ask as many in a zone. */
export const copyHolderCandidateCount = promptQueryEnginesPerZoneCount;

/** Part of a prompt's reading time by which a run that generates delays it. */
export const decodeSlowdownRatio = 0.3;

/** Part of a prompt's reading time that a request may wait longer to stay in its zone. */
export const crossZoneReadingRatio = 0.15;

/** Prompts read for a request that has no place: its own, and that of the run that it displaces. */
export const displacedPromptCount = 2;
