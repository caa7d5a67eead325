/** One fault of a settings file or list, for a person to correct. @public */
export interface Problem {
  readonly file: string;
  /** Line number from 1; 0 when no line can be named. */
  readonly line: number;
  /** Path of the field, as written in the file. */
  readonly path: string;
  readonly message: string;
}

/** Renders a problem as `file:line: path: message`. @public */
export function formatProblem(problem: Problem): string {
  const place = problem.line > 0 ? `${problem.file}:${problem.line}` : problem.file;
  return problem.path
    ? `${place}: ${problem.path}: ${problem.message}`
    : `${place}: ${problem.message}`;
}
