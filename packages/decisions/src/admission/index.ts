/** Admission of requests. */

export {
  admit,
  admitAtOnce,
  createAdmission,
  endRequest,
  leaveQueue,
  refuseLate,
  startNext,
} from "./admission.js";
export {
  Refusal,
  type Admission,
  type AdmissionRequest,
  type AdmissionState,
  type Capacity,
  type RefusedRequest,
} from "./types.js";
