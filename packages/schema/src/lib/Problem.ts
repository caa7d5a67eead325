/** One error in a settings file or operator list, as reported to the operator. @public */
export interface Problem {
  readonly file: string;
  /** Line number, from 1; 0 if the line is not known. */
  readonly line: number;
  /** Path of the field, as written in the file. */
  readonly path: string;
  readonly message: string;
}

/** Formats a problem as `file:line: path: message`. @public */
export function formatProblem(problem: Problem): string {
  const place = problem.line > 0 ? `${problem.file}:${problem.line}` : problem.file;
  return problem.path
    ? `${place}: ${problem.path}: ${problem.message}`
    : `${place}: ${problem.message}`;
}
