// The operators' script: expressions and statements of the Starlark language specification, without load, lambda and while.
// Ends of lines and blocks are the tokens NEWLINE, INDENT and DEDENT, which IndentationLexer adds to those of the lexer.
grammar Script;

tokens { INDENT, DEDENT }

file: (NEWLINE | statement)* EOF;

statement: simpleLine | definition | conditional | loop;

simpleLine: small (';' small)* ';'? NEWLINE;

small
  : 'return' tests?                                            # give
  | 'break'                                                    # leave
  | 'continue'                                                 # next
  | 'pass'                                                     # idle
  | target=tests op=('=' | '+=' | '-=' | '*=' | '/=' | '//=' | '%=') value=tests  # assign
  | tests                                                      # evaluate
  ;

definition: 'def' NAME '(' (parameter (',' parameter)* ','?)? ')' ':' suite;
parameter: NAME ('=' test)?;

conditional: 'if' test ':' suite ('elif' test ':' suite)* ('else' ':' suite)?;
loop: 'for' names 'in' tests ':' suite;
suite: simpleLine | NEWLINE INDENT statement+ DEDENT;

tests: test (',' test)* ','?;
names: name (',' name)* ','?;
name: NAME | '(' names ')' | '[' names ']';

test
  : test '.' NAME                                              # member
  | test '(' (argument (',' argument)* ','?)? ')'              # call
  | test '[' (low=test)? ':' (high=test)? ']'                  # slice
  | test '[' test ']'                                          # item
  | op=('-' | '+') test                                        # sign
  | test op=('*' | '/' | '//' | '%') test                      # product
  | test op=('+' | '-') test                                   # sum
  | test op='|' test                                         # join
  | test (op=('<' | '>' | '<=' | '>=' | '==' | '!=' | 'in') | not='not' 'in') test  # compare
  | 'not' test                                                 # negate
  | test 'and' test                                            # both
  | test 'or' test                                             # either
  | <assoc=right> test 'if' test 'else' test                   # choose
  | atom                                                       # plain
  ;

argument: (NAME '=')? test;

atom
  : NAME                                                       # read
  | INTEGER                                                    # integer
  | REAL                                                       # real
  | STRING+                                                    # text
  | '(' ')'                                                    # emptyTuple
  | '(' test ')'                                               # group
  | '(' test (',' test)* ','? ')'                              # tuple
  | '[' (test (',' test)* ','?)? ']'                           # list
  | '[' test clause+ ']'                                       # listOf
  | '{' (entry (',' entry)* ','?)? '}'                         # dict
  | '{' entry clause+ '}'                                      # dictOf
  ;

entry: key=test ':' value=test;
clause: 'for' names 'in' test | 'if' test;

NAME: [A-Za-z_] [A-Za-z_0-9]*;
INTEGER: '0' [xX] [0-9a-fA-F]+ | [0-9] [0-9_]*;
REAL: [0-9]+ '.' [0-9]* EXPONENT? | '.' [0-9]+ EXPONENT? | [0-9]+ EXPONENT;
STRING: '"""' .*? '"""' | '"' (ESCAPE | ~[\\\r\n"])* '"' | '\'' (ESCAPE | ~[\\\r\n'])* '\'';
NEWLINE: '\r'? '\n' [ \t]*;
COMMENT: '#' ~[\r\n]* -> skip;
BLANK: [ \t]+ -> skip;
JOINED: '\\' '\r'? '\n' -> skip;
OTHER: .;

fragment EXPONENT: [eE] [+-]? [0-9]+;
fragment ESCAPE: '\\' .;
