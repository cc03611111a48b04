/** Commands that the router process performs. */

import type { Timestamp } from "@cardamomglade/common";
import type {
  ShardCommit,
  ExecutionCommand,
  LeaseCall,
} from "@cardamomglade/decisions";
import type {
  EngineToken,
  FinishReason,
  PeerMessage,
  RecordedAnswer,
  TimelineEvent,
} from "@cardamomglade/schema";
import type {
  AttachParams,
  GenerationParams,
  ServiceCall,
} from "@cardamomglade/upstream";
import type { ApiError } from "./errors.js";
import type { AnswerSource } from "./types.js";

/** A command to a driver: output of `decide`. */
export type RouterCommand =
  | {
      readonly type: "openAttempt";
      readonly url: string;
      readonly order: GenerationParams;
    }
  | {
      readonly type: "attachAttempt";
      readonly url: string;
      readonly order: AttachParams;
    }
  | {
      readonly type: "cancelAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "detachAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "pauseAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "resumeAttempt";
      readonly requestId: string;
      readonly attempt: number;
    }
  | {
      readonly type: "probeBackEnd";
      readonly requestId: string;
      readonly attempt: number;
      readonly url: string;
      readonly deadline: Timestamp;
    }
  | {
      readonly type: "deliver";
      readonly requestId: string;
      readonly source: AnswerSource;
      readonly offset: number;
      readonly tokens: readonly EngineToken[];
    }
  | {
      readonly type: "finishAnswer";
      readonly requestId: string;
      readonly reason: FinishReason;
      readonly completionTokens: number;
    }
  | {
      readonly type: "failAnswer";
      readonly requestId: string;
      readonly error: ApiError;
    }
  | {
      readonly type: "callService";
      readonly url: string;
      readonly call: ServiceCall;
    }
  | {
      readonly type: "answerCall";
      readonly requestId: string;
      readonly answer: RecordedAnswer;
    }
  | {
      readonly type: "readShard";
      readonly shard: number;
      readonly fencing: number;
      readonly deadline: Timestamp;
    }
  | {
      readonly type: "commitShard";
      readonly shard: number;
      readonly fencing: number;
      readonly commit: ShardCommit;
      readonly deadline: Timestamp;
    }
  | {
      readonly type: "wakeShard";
      readonly shard: number;
      readonly fencing: number;
      readonly wakeAt: Timestamp;
    }
  | {
      /** Delivers a message to this router itself, as if a peer had sent it. */
      readonly type: "sendToSelf";
      readonly message: PeerMessage;
    }
  | {
      readonly type: "leaseCall";
      readonly role: string;
      readonly call: LeaseCall;
    }
  | {
      readonly type: "sendToPeer";
      readonly peer: string;
      readonly message: PeerMessage;
    }
  | { readonly type: "execute"; readonly command: ExecutionCommand }
  | { readonly type: "connectPeer"; readonly url: string }
  | { readonly type: "forgetPeer"; readonly url: string }
  | {
      readonly type: "watchConfiguration";
      readonly isWatching: boolean;
    }
  | {
      readonly type: "record";
      readonly event: Omit<TimelineEvent, "at" | "process">;
    };

/** The command with a given type. */
export type RouterCommandOf<T extends RouterCommand["type"]> = Extract<
  RouterCommand,
  { type: T }
>;
