/** Exit codes of the command line, as documented for operators. @public */
export enum ExitCode {
  Done = 0,
  Fault = 1,
  Usage = 2,
  InvalidFile = 3,
  AddressInUse = 4,
  DataFolder = 5,
  Unreachable = 6,
  Refused = 7,
  NotInForce = 8,
}
