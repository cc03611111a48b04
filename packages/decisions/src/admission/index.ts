/** Admission control of requests. */

export {
  admit,
  admitImmediately,
  createAdmission,
  endRequest,
  removeFromQueue,
  refuseExpired,
  startNext,
} from "./admission.js";
export {
  Refusal,
  type AdmissionDecision,
  type AdmissionRequest,
  type AdmissionState,
  type Capacity,
  type RefusedRequest,
} from "./types.js";
