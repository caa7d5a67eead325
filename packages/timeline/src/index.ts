/** Time line of events over all processes. */
export { filterRecords, type Filter } from './lib/filterRecords';
export { mergeRecords } from './lib/mergeRecords';
export { parseRecords } from './lib/parseRecords';
export { renderHtml } from './lib/renderHtml';
export { renderText } from './lib/renderText';
